import type {QueueEntry} from './queue-entry.js';

/**
 * Queue that serves callers in turn; each caller's own entries in order of arrival.
 * Every operation takes constant time.
 */
export class FairQueue<E extends QueueEntry = QueueEntry> {
	private readonly callers = new Map<string, Map<string, E>>();
	private readonly callerOf = new Map<string, string>();

	/** Entries that wait. */
	get size(): number {
		return this.callerOf.size;
	}

	/** Callers that have entries waiting. */
	get callerCount(): number {
		return this.callers.size;
	}

	/** Entries of one caller that wait. */
	countByCaller(caller: string): number {
		return this.callers.get(caller)?.size ?? 0;
	}

	/** The entry with this id, when it waits here. */
	get(id: string): E | undefined {
		const caller = this.callerOf.get(id);
		return caller === undefined ? undefined : this.callers.get(caller)?.get(id);
	}

	/** Adds an entry at the end of its caller's line. */
	push(entry: E): void {
		const line = this.callers.get(entry.caller) ?? new Map<string, E>();
		line.set(entry.id, entry);
		this.callers.set(entry.caller, line);
		this.callerOf.set(entry.id, entry.caller);
	}

	/** Takes the first entry of the caller whose turn it is. */
	shift(): E | undefined {
		const [turn] = this.callers;
		if (turn === undefined) {
			return undefined;
		}

		const [caller, line] = turn;
		const [entry] = line.values();
		this.callers.delete(caller);
		this.callers.set(caller, line);
		return this.remove(entry.id);
	}

	/** Takes out one entry; undefined when it does not wait here. */
	remove(id: string): E | undefined {
		const entry = this.get(id);
		if (entry === undefined) {
			return undefined;
		}

		const line = this.callers.get(entry.caller);
		line?.delete(id);
		this.callerOf.delete(id);
		if (line?.size === 0) {
			this.callers.delete(entry.caller);
		}

		return entry;
	}

	/** Takes out everything. */
	clear(): E[] {
		const entries = [...this.callers.values()].flatMap(line => [...line.values()]);
		this.callers.clear();
		this.callerOf.clear();
		return entries;
	}
}
