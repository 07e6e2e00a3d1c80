import {z} from 'zod';
import {Fold, parseRecord, type FoldVerdict} from '../fold/index.js';

/** State of a register with conditional writes. */
export type Register = {
	/** Offset of the last accepted write. */
	version: number;
	value: string;
};

const versions: ReadonlySet<number> = new Set([1]);
const write = z.object({id: z.string(), base: z.number(), value: z.string()});
const register = z.object({version: z.number(), value: z.string()});

/** Fold of a register. Accepts a write only if it names the current version. */
export class RegisterFold extends Fold<Register> {
	initial(): Register {
		return {version: 0, value: ''};
	}

	apply(state: Register, offset: number, data: string): FoldVerdict {
		const parsed = parseRecord(data, versions);
		if ('fault' in parsed) {
			return {accepted: false, foreign: true, reason: parsed.fault};
		}

		const record = write.safeParse(parsed.value).data;
		if (!record) {
			return {accepted: false, foreign: true, reason: 'shape'};
		}

		if (record.base !== state.version) {
			return {accepted: false, id: record.id, reason: 'stale'};
		}

		state.version = offset;
		state.value = record.value;
		return {accepted: true, id: record.id};
	}

	encode(state: Register): string {
		return JSON.stringify([state.version, state.value]);
	}

	decode(text: string): Register {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const [version, value] = JSON.parse(text) as unknown[];
		return register.parse({version, value});
	}
}

/** Serializes a write that is conditional on version `base`. */
export function encodeWrite(id: string, base: number, value: string): string {
	return JSON.stringify({
		v: 1, id, base, value,
	});
}
