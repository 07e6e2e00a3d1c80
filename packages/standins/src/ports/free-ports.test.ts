/** Two test files, or two runs of the suite on one machine, must not get the same port between its look-up and its use. */
import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import test from 'ava';
import {findFreePorts, reservePort} from './free-ports.js';

const folder = mkdtempSync(join(tmpdir(), 'bluebellyard-ports-test-'));

test.after.always(() => {
	rmSync(folder, {recursive: true, force: true});
});

test('free ports are distinct', async t => {
	const ports = await Promise.all([findFreePorts(4), findFreePorts(4)]);
	t.is(new Set(ports.flat()).size, 8);
});

test('a port that another process has reserved is not free', t => {
	writeFileSync(join(folder, '10001'), String(process.ppid));
	t.false(reservePort(10_001, folder));
	t.false(reservePort(10_001, folder));
});

test('a port whose process has ended is free again', t => {
	const {pid} = spawnSync(process.execPath, ['--version']);
	writeFileSync(join(folder, '10002'), String(pid));
	t.false(reservePort(10_002, folder));
	t.true(reservePort(10_002, folder));
	t.false(reservePort(10_002, folder));
});
