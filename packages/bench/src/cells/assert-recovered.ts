import type {ExecutionContext} from 'ava';
import {listFailures, type CellHarness} from './cell-harness.js';

const afterFault = {durationMs: 500, repeats: 0};

/** Checks that nothing was broken, and that all keys are served again. */
export async function assertRecovered(t: ExecutionContext, site: CellHarness): Promise<void> {
	await site.waitUntilSettled();
	t.deepEqual(listFailures(await site.sendLoad(afterFault)), []);
	const {violations} = await site.checkLedgers();
	t.deepEqual(violations, []);
}
