/**
 * Values as operators write them in settings. Each reader gives undefined for a malformed text.
 */
import {isIP, isIPv6} from 'node:net';
import {parseWholeNumber} from '@bluebellyard/core';

/** An IP number and a port. */
export type Address = {
	readonly host: string;
	readonly port: number;
};

const maxPort = 65_535;
const sizeUnits: ReadonlyArray<readonly [unit: string, bytes: number]> = [
	['MiB', 1_048_576], ['KiB', 1024], ['B', 1],
];
const wildcards = new Set(['0.0.0.0', '::']);
const percent = 100;

/** Bytes of a text such as `16KiB`. */
export function parseSize(text: string): number | undefined {
	const found = sizeUnits.find(([unit]) => text.endsWith(unit));
	if (!found) {
		return undefined;
	}

	const [unit, bytes] = found;
	const count = parseWholeNumber(text.slice(0, -unit.length));
	return count === undefined ? undefined : count * bytes;
}

/** Fraction of a text such as `1%` or `0.5%`. */
export function parsePercent(text: string): number | undefined {
	const [whole, decimals, ...rest] = text.slice(0, -1).split('.');
	const parts = [whole, decimals ?? '0'].map(part => parseWholeNumber(part));
	if (!text.endsWith('%') || rest.length > 0 || parts.includes(undefined)) {
		return undefined;
	}

	return Number(text.slice(0, -1)) / percent;
}

function unbracketed(host: string): string | undefined {
	const hasBrackets = host.startsWith('[') && host.endsWith(']');
	const plain = hasBrackets ? host.slice(1, -1) : host;
	return isIPv6(plain) === hasBrackets ? plain : undefined;
}

/** Address of a text such as `10.0.0.1:80` or `[::1]:80`; host names and wildcards are refused. */
export function parseAddress(text: string): Address | undefined {
	const colon = text.lastIndexOf(':');
	const host = unbracketed(text.slice(0, Math.max(colon, 0)));
	const port = parseWholeNumber(text.slice(colon + 1));
	if (host === undefined || isIP(host) === 0 || wildcards.has(host)) {
		return undefined;
	}

	return port === undefined || port > maxPort ? undefined : {host, port};
}

/** Address of another process; its port is not 0. */
export function parsePeerAddress(text: string): Address | undefined {
	const address = parseAddress(text);
	return address?.port === 0 ? undefined : address;
}

/** Addresses of other processes, separated by commas. */
export function parsePeerAddresses(text: string): readonly Address[] | undefined {
	const addresses = text.split(',').map(part => parsePeerAddress(part.trim()));
	return addresses.includes(undefined) ? undefined : addresses.filter(address => address !== undefined);
}

/** Text of an address. */
export function formatAddress(address: Address): string {
	return isIPv6(address.host) ? `[${address.host}]:${address.port}` : `${address.host}:${address.port}`;
}

/** Origin of a text such as `http://10.0.0.1:80`. */
export function parseOrigin(text: string): string | undefined {
	const scheme = 'http://';
	if (!text.startsWith(scheme)) {
		return undefined;
	}

	const rest = text.slice(scheme.length);
	const address = parsePeerAddress(rest.endsWith('/') ? rest.slice(0, -1) : rest);
	return address && scheme + formatAddress(address);
}
