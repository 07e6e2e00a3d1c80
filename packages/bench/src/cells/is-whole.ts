import type {ExecutionContext} from 'ava';
import {failures, type CellSite} from './cell-site.js';

const afterFault = {durationMs: 500, repeats: 0};

/** Asserts that all keys are served again and that the ledgers show no violation. */
export async function isWhole(t: ExecutionContext, site: CellSite): Promise<void> {
	await site.settle();
	t.deepEqual(failures(await site.load(afterFault)), []);
	const {violations} = await site.check();
	t.deepEqual(violations, []);
}
