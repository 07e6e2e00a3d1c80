import type {ExecutionContext} from 'ava';
import type {CellHarness} from './cell-harness.js';

/** Keeps the files of a deployment if the test that just ended has failed; for `afterEach.always`. */
export function keepFailedCell({passed}: ExecutionContext, harness: CellHarness): void {
	if (!passed) {
		harness.keepFiles();
	}
}
