import {isIPv4} from 'node:net';
import {option, type Type} from 'cmd-ts';

/** Address to listen on. */
export type ListenAddr = {
	readonly host: string;
	readonly port: number;
};

const addrType: Type<string, ListenAddr> = {
	async from(text) {
		const [host = '', port = ''] = text.split(':');
		if (!isIPv4(host) || port === '') {
			throw new Error('expected ip:port');
		}

		return {host, port: Number(port)};
	},
};

/** The `--addr` option; by default an ephemeral port on loopback. */
export const addrOption = option({
	long: 'addr',
	type: addrType,
	description: 'ip:port to listen on; port 0 for an ephemeral one',
	defaultValue: () => ({host: '127.0.0.1', port: 0}),
	defaultValueIsSerializable: true,
});
