import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {CellHarness} from './cell-harness.js';
import {keepFailedCell} from './keep-failed-cell.js';
import {cellRules} from './topology.js';

const folder = mkdtempSync(join(tmpdir(), 'bluebellyard-cells-'));

let harness: CellHarness;

test.before(async () => {
	harness = await CellHarness.start();
});

test.after.always(async () => {
	await harness?.stop();
	rmSync(folder, {recursive: true, force: true});
});

test.afterEach.always(t => {
	keepFailedCell(t, harness);
});

test.serial('only one of two publishes with the same base succeeds', async t => {
	const [base] = await harness.fetchConfigOffsets();
	const notes = ['first operator', 'second operator'];
	const publishes = notes.map(async (note, i) => {
		const file = join(folder, `${i}.txt`);
		writeFileSync(file, cellRules(note));
		return harness.deployment.runCtl('publish', file, '--base', String(base), '--wait', '--json');
	});
	const results = await Promise.all(publishes);
	t.deepEqual(results.map(({code}) => code).toSorted((a, b) => a - b), [0, 1]);
	const winner = results.findIndex(({code}) => code === 0);
	const [config] = await harness.fetchConfigOffsets();
	t.true(config > base);
	t.deepEqual(await harness.fetchConfigOffsets(), [config]);
	const shown = await harness.deployment.runCtl('show');
	t.true(shown.out.includes(`# base: ${config}`));
	t.true(shown.out.includes(notes[winner]));
	t.false(shown.out.includes(notes[1 - winner]));
	const {violations} = await harness.checkLedgers();
	t.deepEqual(violations, []);
});
