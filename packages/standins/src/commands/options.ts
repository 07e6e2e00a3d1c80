import {number, option, string} from 'cmd-ts';

/** Creates an option with a number. */
export function numberOption(long: string, defaultValue: number, description: string) {
	return option({
		long, type: number, description, defaultValue: () => defaultValue, defaultValueIsSerializable: true,
	});
}

/** Creates an option with a string. */
export function stringOption(long: string, defaultValue: string, description: string) {
	return option({
		long, type: string, description, defaultValue: () => defaultValue, defaultValueIsSerializable: true,
	});
}
