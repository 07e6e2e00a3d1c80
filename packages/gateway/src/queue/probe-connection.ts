import {connect} from 'node:net';

/** Outcome of an attempt to open a connection. */
export enum ProbeOutcome {
	Connected = 'connected',
	/** No process listens at the address. */
	Refused = 'refused',
	/** Nothing answered in time. */
	Silent = 'silent',
	/** It failed in another way, or was reset as soon as it was open. */
	Failed = 'failed',
}

/** Parameters of a probe. */
export type ProbeOptions = {
	/** IP address and port. */
	readonly addr: string;
	/** IP address to connect from; the system selects one if it is undefined. */
	readonly localAddress: string | undefined;
	readonly timeoutMs: number;
	/** Time for which the connection must stay open, in milliseconds; a middlebox may accept and then reset it. */
	readonly minOpenMs?: number;
};

/** Opens a connection and closes it again. Never rejects. */
export async function probeConnection({addr, localAddress, timeoutMs, minOpenMs = 0}: ProbeOptions): Promise<ProbeOutcome> {
	const colon = addr.lastIndexOf(':');
	return new Promise(resolve => {
		const socket = connect({host: addr.slice(0, colon), port: Number(addr.slice(colon + 1)), localAddress});
		let openTimer: NodeJS.Timeout | undefined;
		const finish = (outcome: ProbeOutcome) => {
			clearTimeout(timer);
			clearTimeout(openTimer);
			socket.destroy();
			resolve(outcome);
		};

		const timer = setTimeout(() => {
			// An event loop that was blocked runs its timers before it reads what has arrived meanwhile.
			setImmediate(() => {
				if (openTimer === undefined) {
					finish(ProbeOutcome.Silent);
				}
			});
		}, timeoutMs);
		socket.once('connect', () => {
			if (minOpenMs === 0) {
				finish(ProbeOutcome.Connected);
				return;
			}

			openTimer = setTimeout(() => {
				setImmediate(finish, ProbeOutcome.Connected);
			}, minOpenMs);
		});
		socket.on('error', (err: NodeJS.ErrnoException) => {
			finish(err.code === 'ECONNREFUSED' ? ProbeOutcome.Refused : ProbeOutcome.Failed);
		});
	});
}
