import type {TargetOptions, TargetSettings} from '@bluebellyard/standins';

type FlagKey = Exclude<keyof TargetSettings, 'checksFences'>;

const flagNames: ReadonlyArray<readonly [FlagKey, string]> = [
	['name', 'name'],
	['kind', 'kind'],
	['slots', 'slots'],
	['serviceMs', 'service-ms'],
	['serviceShape', 'service-shape'],
	['coldRequests', 'cold-requests'],
	['coldMs', 'cold-ms'],
	['coldFactor', 'cold-factor'],
	['fallOverAfter', 'fall-over-after'],
	['fallOverMs', 'fall-over-ms'],
	['payloadBytes', 'payload-bytes'],
	['reportLagMs', 'report-lag-ms'],
	['seed', 'seed'],
	['journalFile', 'journal-file'],
];

/** Command line of a target with these options. */
export function buildTargetArgs(options: TargetOptions): string[] {
	const args = flagNames.flatMap(([key, flagName]) => {
		const value = options[key];
		return value === undefined ? [] : [`--${flagName}`, String(value)];
	});
	return ['target', ...args, ...(options.checksFences === false ? ['--no-fences'] : [])];
}
