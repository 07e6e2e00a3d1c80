import type {QueueEntry} from './queue-entry.js';

/**
 * Queue that serves callers in turn, and the entries of each caller in order of arrival.
 * Every operation but `clear` takes constant time.
 */
export class FairQueue<E extends QueueEntry = QueueEntry> {
	private readonly callers = new Map<string, Map<string, E>>();
	private readonly callerOf = new Map<string, string>();

	/** Number of waiting entries. */
	get size(): number {
		return this.callerOf.size;
	}

	/** Number of callers with waiting entries. */
	get callerCount(): number {
		return this.callers.size;
	}

	/** Returns the number of waiting entries of one caller. */
	countByCaller(caller: string): number {
		return this.callers.get(caller)?.size ?? 0;
	}

	/** Returns the entry with this id; undefined when it does not wait here. */
	get(id: string): E | undefined {
		const caller = this.callerOf.get(id);
		return caller === undefined ? undefined : this.callers.get(caller)?.get(id);
	}

	/** Adds an entry after those of the same caller. */
	push(entry: E): void {
		const queue = this.callers.get(entry.caller) ?? new Map<string, E>();
		queue.set(entry.id, entry);
		this.callers.set(entry.caller, queue);
		this.callerOf.set(entry.id, entry.caller);
	}

	/** Removes and returns the first entry of the caller whose turn it is. */
	shift(): E | undefined {
		const [first] = this.callers;
		if (first === undefined) {
			return undefined;
		}

		const [caller, queue] = first;
		const [entry] = queue.values();
		this.callers.delete(caller);
		this.callers.set(caller, queue);
		return this.remove(entry.id);
	}

	/** Removes and returns one entry; undefined when it does not wait here. */
	remove(id: string): E | undefined {
		const entry = this.get(id);
		if (entry === undefined) {
			return undefined;
		}

		const queue = this.callers.get(entry.caller);
		queue?.delete(id);
		this.callerOf.delete(id);
		if (queue?.size === 0) {
			this.callers.delete(entry.caller);
		}

		return entry;
	}

	/** Removes and returns all entries. */
	clear(): E[] {
		const entries = [...this.callers.values()].flatMap(queue => [...queue.values()]);
		this.callers.clear();
		this.callerOf.clear();
		return entries;
	}
}
