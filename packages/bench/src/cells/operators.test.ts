import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {CellSite} from './cell-site.js';
import {cellRules} from './topology.js';

const folder = mkdtempSync(join(tmpdir(), 'bluebellyard-cells-'));

let site: CellSite;

test.before(async () => {
	site = await CellSite.start();
});

test.after.always(async () => {
	await site?.stop();
	rmSync(folder, {recursive: true, force: true});
});

test.serial('only one of two publishes with the same base succeeds', async t => {
	const [base] = await site.configs();
	const notes = ['first operator', 'second operator'];
	const publishes = notes.map(async (note, i) => {
		const file = join(folder, `${i}.txt`);
		writeFileSync(file, cellRules(note));
		return site.deployment.ctl('publish', file, '--base', String(base), '--wait', '--json');
	});
	const results = await Promise.all(publishes);
	t.deepEqual(results.map(({code}) => code).toSorted((a, b) => a - b), [0, 1]);
	const winner = results.findIndex(({code}) => code === 0);
	const [config] = await site.configs();
	t.true(config > base);
	t.deepEqual(await site.configs(), [config]);
	const shown = await site.deployment.ctl('show');
	t.true(shown.out.includes(`# base: ${config}`));
	t.true(shown.out.includes(notes[winner]));
	t.false(shown.out.includes(notes[1 - winner]));
	const {violations} = await site.check();
	t.deepEqual(violations, []);
});
