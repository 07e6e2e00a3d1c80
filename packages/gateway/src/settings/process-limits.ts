import type {GatewaySettings} from './settings.js';

/** Memory that the program itself takes, in MiB. */
const programMb = 100;

/**
 * Share of the other memory for what the process holds for others. One body of the largest size fits into that of the
 * users' machines; the rest is for copies, and for what the garbage collector has not freed yet.
 */
const heldShare = 0.385;

/** Smallest such memory, in MiB. */
const minHeldMb = 16;

const bytesPerMb = 1024 * 1024;

/** Descriptors that the system keeps for files. */
const fileDescriptors = 200;

/** Largest shares of the other descriptors; callers leave a quarter for the other instances, targets and the store. */
const callerShare = 0.75;
const peerShare = 1 / 4;
const unnamedPeerShare = 1 / 16;
const probeShare = 1 / 32;

/** Limits that follow from the memory and the descriptors of the process. */
export type ProcessLimits = {
	/** Largest sum of what the process holds for others, in bytes. */
	readonly heldBytes: number;
	/** Largest number of connections of callers. */
	readonly callerConnections: number;
	/** Largest number of connections that other instances open. */
	readonly peerConnections: number;
	/** Largest number of those among them on which no instance has named itself. */
	readonly unnamedPeerConnections: number;
	/** Largest number of connections to the health address, and to the metrics address. */
	readonly probeConnections: number;
};

/** Returns the limits for the settings of a process. */
export function toProcessLimits({memory, descriptors}: GatewaySettings['process']): ProcessLimits {
	const sockets = Math.max(32, descriptors - fileDescriptors);
	return {
		heldBytes: Math.max(minHeldMb, (memory - programMb) * heldShare) * bytesPerMb,
		callerConnections: Math.floor(sockets * callerShare),
		peerConnections: Math.floor(sockets * peerShare),
		unnamedPeerConnections: Math.floor(sockets * unnamedPeerShare),
		probeConnections: Math.floor(sockets * probeShare),
	};
}
