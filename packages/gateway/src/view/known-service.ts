import type {Service} from '@bluebellyard/core';

/** Returns whether the active configuration has a service; without a configuration, nothing speaks against any service. */
export function isKnownService({allServices}: {readonly allServices: ReadonlyMap<string, Service>}, name: string): boolean {
	return allServices.size === 0 || allServices.has(name);
}
