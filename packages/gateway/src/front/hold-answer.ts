import type {ServerResponse} from 'node:http';
import type {MemoryBudget} from '@bluebellyard/core';

/** Counts the bytes of an answer until it is written. A caller that does not read it may lose it, with its connection. */
export function holdAnswer(res: ServerResponse, bytes: number, budget: MemoryBudget): void {
	const share = budget.open(() => {
		res.destroy();
	});
	res.once('close', () => {
		share.release();
	});
	share.update(bytes);
}
