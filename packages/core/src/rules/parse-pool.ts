/**
 * Parses `pool NAME keyed|shared [option=value ...]`.
 */
import {durationForm, parseDuration} from './duration.js';
import {checkName} from './rule-name.js';
import {LineError} from './problem.js';
import {PoolKind, type PoolRule, type RuleSource} from './rules.js';
import {parseWholeNumber} from './whole-number.js';

/** Largest number of shards of a pool. */
export const maxShards = 65_536;
const maxSlots = 10_000;
const maxQueue = 100_000;
const minTimeoutMs = 1;
const maxTimeoutMs = 3_600_000;

const defaultShards = 256;
const defaultSlots = 1;
const defaultQueue = 16;
const defaultTimeout = '5s';

const poolForm = 'pool NAME keyed|shared [shards=N] [slots=N] [queue=N] [fenced=yes|no] [timeout=5s]  # who';
const optionNames = new Set(['shards', 'slots', 'queue', 'fenced', 'timeout']);
const kindsByWord = new Map<string, PoolKind>(Object.values(PoolKind).map(kind => [kind, kind]));
const keyedOnly = ['shards', 'fenced'];

function readOptions(words: readonly string[]): Map<string, string> {
	const options = new Map<string, string>();
	for (const word of words) {
		const [name, ...rest] = word.split('=');
		if (rest.length === 0 || !optionNames.has(name)) {
			throw new LineError(`unknown option "${word}"`, poolForm);
		}

		if (options.has(name)) {
			throw new LineError(`option ${name} stands twice`, `${name} once`);
		}

		options.set(name, rest.join('='));
	}

	return options;
}

function integerOption(name: string, text: string | undefined, limits: {min: number; max: number; default: number}): number {
	if (text === undefined) {
		return limits.default;
	}

	const value = parseWholeNumber(text);
	if (value !== undefined && value >= limits.min && value <= limits.max) {
		return value;
	}

	throw new LineError(`${name} is "${text}"`, `a whole number from ${limits.min} to ${limits.max}`);
}

function fencedOption(text = 'no'): boolean {
	if (text !== 'yes' && text !== 'no') {
		throw new LineError(`fenced is "${text}"`, 'yes or no');
	}

	return text === 'yes';
}

function timeoutOption(text = defaultTimeout): number {
	const ms = parseDuration(text);
	if (ms === undefined) {
		throw new LineError(`timeout is "${text}"`, durationForm);
	}

	if (ms < minTimeoutMs || ms > maxTimeoutMs) {
		throw new LineError(`timeout is "${text}"`, 'a duration from 1ms to 1h');
	}

	return ms;
}

/** The pool of a line; `words` starts with `pool`. Throws `LineError`. */
export function parsePool(words: readonly string[], source: RuleSource): PoolRule {
	const [, name, kindText, ...optionWords] = words;
	if (name === undefined || kindText === undefined) {
		throw new LineError('the pool has no name or kind', poolForm);
	}

	checkName('pool', name);
	const kind = kindsByWord.get(kindText);
	if (kind === undefined) {
		throw new LineError(`unknown kind of pool "${kindText}"`, 'keyed or shared');
	}

	const options = readOptions(optionWords);
	const misplaced = keyedOnly.find(option => kind === PoolKind.Shared && options.has(option));
	if (misplaced !== undefined) {
		throw new LineError(`${misplaced} is set for a shared pool`, `${misplaced} only for keyed pools`);
	}

	return {
		name,
		kind,
		shards: kind === PoolKind.Keyed
			? integerOption('shards', options.get('shards'), {min: 1, max: maxShards, default: defaultShards})
			: 0,
		slots: integerOption('slots', options.get('slots'), {min: 1, max: maxSlots, default: defaultSlots}),
		queue: integerOption('queue', options.get('queue'), {min: 0, max: maxQueue, default: defaultQueue}),
		fenced: fencedOption(options.get('fenced')),
		timeout: timeoutOption(options.get('timeout')),
		source,
	};
}
