import {number, option} from 'cmd-ts';

/** The `--seed` flag of all experiments. */
export const seedOption = option({
	long: 'seed',
	type: number,
	description: 'seed of all random numbers',
	defaultValue: () => 1,
	defaultValueIsSerializable: true,
});
