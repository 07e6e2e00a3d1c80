import {OrderEnd, type LedgerDump, type LedgerEntry} from '@bluebellyard/standins';

/** Ledgers of killed targets, restored from their journals. */
export class LostLedgers {
	readonly dumps: LedgerDump[] = [];

	/** Adds the ledger of a target killed at `killedAt`; orders that were running then count as aborted. */
	add(target: string, entries: readonly LedgerEntry[], killedAt: number): void {
		const endedEntries = entries.map(entry => entry.end === OrderEnd.Running
			? {
				...entry, end: OrderEnd.Aborted, ended: killedAt, reason: 'killed',
			}
			: entry);
		const count = (end: OrderEnd): number => endedEntries.filter(entry => entry.end === end).length;
		const totals = {
			received: endedEntries.length,
			ran: count(OrderEnd.Ran),
			aborted: count(OrderEnd.Aborted),
			notRun: count(OrderEnd.NotRun),
			slotViolations: 0,
			coldViolations: 0,
			falls: 0,
			maxRunning: 0,
		};
		this.dumps.push({target, totals, entries: endedEntries});
	}
}
