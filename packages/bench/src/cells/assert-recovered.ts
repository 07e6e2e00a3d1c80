import type {ExecutionContext} from 'ava';
import {listFailures, type CellHarness} from './cell-harness.js';

const afterFault = {durationMs: 500, repeats: 0};

/** Asserts that all keys are served again and that the ledgers show no violation. */
export async function assertRecovered(t: ExecutionContext, site: CellHarness): Promise<void> {
	await site.waitUntilSettled();
	t.deepEqual(listFailures(await site.sendLoad(afterFault)), []);
	const {violations} = await site.checkLedgers();
	t.deepEqual(violations, []);
}
