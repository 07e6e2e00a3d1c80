import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {CellHarness} from './cell-harness.js';
import {cellRules} from './topology.js';

const folder = mkdtempSync(join(tmpdir(), 'bluebellyard-cells-'));

let site: CellHarness;

test.before(async () => {
	site = await CellHarness.start();
});

test.after.always(async () => {
	await site?.stop();
	rmSync(folder, {recursive: true, force: true});
});

test.serial('one of two publishes from the same base wins', async t => {
	const [base] = await site.fetchConfigOffsets();
	const notes = ['first operator', 'second operator'];
	const publishes = notes.map(async (note, i) => {
		const file = join(folder, `${i}.txt`);
		writeFileSync(file, cellRules(note));
		return site.deployment.runCtl('publish', file, '--base', String(base), '--wait', '--json');
	});
	const results = await Promise.all(publishes);
	t.deepEqual(results.map(({code}) => code).toSorted((a, b) => a - b), [0, 1]);
	const winner = results.findIndex(({code}) => code === 0);
	const [config] = await site.fetchConfigOffsets();
	t.true(config > base);
	t.deepEqual(await site.fetchConfigOffsets(), [config]);
	const shown = await site.deployment.runCtl('show');
	t.true(shown.out.includes(`# base: ${config}`));
	t.true(shown.out.includes(notes[winner]));
	t.false(shown.out.includes(notes[1 - winner]));
	const {violations} = await site.checkLedgers();
	t.deepEqual(violations, []);
});
