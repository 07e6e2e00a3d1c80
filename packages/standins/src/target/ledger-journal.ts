import {
	closeSync, openSync, readFileSync, writeSync,
} from 'node:fs';
import type {LedgerEntry} from './ledger.js';

/** File with one JSON line for each change of a ledger. It survives a killed process. */
export class LedgerJournal {
	private readonly file: number;

	constructor(path: string) {
		this.file = openSync(path, 'a');
	}

	/** Appends the current state of the entry. */
	write(entry: LedgerEntry): void {
		writeSync(this.file, `${JSON.stringify(entry)}\n`);
	}

	/** Closes the file. */
	close(): void {
		closeSync(this.file);
	}
}

/** Reads the last state of each entry in the journal of one process. */
export function readJournal(path: string): LedgerEntry[] {
	const lines = readFileSync(path, 'utf8').split('\n');
	const entries = new Map<number, LedgerEntry>();
	// Text after the last line end is an incomplete write.
	for (const line of lines.slice(0, -1)) {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- written by this class
		const entry = JSON.parse(line) as LedgerEntry;
		entries.set(entry.seq, entry);
	}

	return [...entries.values()];
}
