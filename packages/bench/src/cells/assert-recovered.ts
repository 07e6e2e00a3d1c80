import type {ExecutionContext} from 'ava';
import {listFailures, type CellHarness} from './cell-harness.js';

const afterFault = {durationMs: 500, repeats: 0};

/** Asserts that all keys are served again and that the ledgers show no violation. */
export async function assertRecovered(t: ExecutionContext, harness: CellHarness): Promise<void> {
	await harness.waitUntilSettled();
	t.deepEqual(listFailures(await harness.sendLoad(afterFault)), []);
	const {violations} = await harness.checkLedgers();
	t.deepEqual(violations, []);
}
