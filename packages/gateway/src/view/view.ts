/**
 * What an instance believes of the deployment: the configuration in force,
 * targets, owners of keys and instances in charge. Written by the leader and
 * replicated to all instances.
 */
import {
	HostRoutes, TargetPhase, type CallerLimits, type HostRoute, type Service, type TargetInfo,
} from '@bluebellyard/core';
import type {GatewayConfig} from '../ports/index.js';
import {DeltaStore, type Delta} from './delta-store.js';

/** A range of keys as callers' requests are routed by it. */
export type OwnedRange = {
	readonly to: number;
	/** Process life of a target; empty for none. */
	readonly owner: string;
	/** Whether the owner confirmed the grant. */
	readonly isOpen: boolean;
};

/** One instance of the gateway. */
export type NodeInfo = {
	readonly name: string;
	/** One process life. */
	readonly incarnation: string;
	readonly domain: string;
	/** Address for other instances. */
	readonly addr: string;
	/** Processor time that it may use, in cores. */
	readonly cores: number;
};

type ConfigHead = {
	readonly version: number;
	readonly limits: CallerLimits;
};

/** Default limits until a configuration is known. */
const initialLimits: CallerLimits = {
	headerBytes: 16_384, bodyBytes: 67_108_864, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** Desk of a keyed target: the one instance that sends it work. */
export function targetQueueId(target: string): string {
	return `target:${target}`;
}

/** Desk of a service that is not sharded, in one failure domain. */
export function sharedQueueId(service: string, domain: string): string {
	return `shared:${service}@${domain}`;
}

/** Reads and writes the replicated state by meaning. */
export class View {
	readonly store = new DeltaStore();
	private readonly builtAt = new Map<string, number>();
	private routeTable = new HostRoutes([]);
	private services = new Map<string, Service>();
	private targetRows = new Map<string, TargetInfo>();
	private evacuatedDomains = new Set<string>();
	private nodeRows: NodeInfo[] = [];
	private nodesByAddr = new Map<string, NodeInfo>();
	private ranges = new Map<string, Array<{from: number} & OwnedRange>>();
	private readonly listeners = new Set<() => void>();

	/** Version of the configuration in force; undefined before the first one. */
	get configVersion(): number | undefined {
		return this.store.get<ConfigHead>('config')?.version;
	}

	/** Limits on callers. */
	get limits(): CallerLimits {
		return this.store.get<ConfigHead>('config')?.limits ?? initialLimits;
	}

	/** Routes of the configuration in force. */
	get routes(): HostRoutes {
		this.refresh('route', () => {
			this.routeTable = new HostRoutes([...this.store.withPrefix<HostRoute>('route/')].map(([, route]) => route));
		});
		return this.routeTable;
	}

	/** All targets known, by process life. */
	get targets(): ReadonlyMap<string, TargetInfo> {
		this.refresh('target', () => {
			this.targetRows = new Map([...this.store.withPrefix<TargetInfo>('target/')].map(([, target]) => [target.id, target]));
		});
		return this.targetRows;
	}

	/** Failure domains taken out of service. */
	get evacuated(): ReadonlySet<string> {
		this.refresh('evacuated', () => {
			this.evacuatedDomains = new Set([...this.store.withPrefix<true>('evacuated/')].map(([key]) => key.slice('evacuated/'.length)));
		});
		return this.evacuatedDomains;
	}

	/** All services. */
	get allServices(): ReadonlyMap<string, Service> {
		this.refresh('service', () => {
			this.services = new Map([...this.store.withPrefix<Service>('service/')].map(([, service]) => [service.name, service]));
		});
		return this.services;
	}

	/** Calls back after each change. */
	onChange(listener: () => void): void {
		this.listeners.add(listener);
	}

	/** The range of a sharded service that has the key. */
	findRange(service: string, key: number): ({from: number} & OwnedRange) | undefined {
		this.refresh('keys', () => {
			this.buildRanges();
		});
		return this.ranges.get(service)?.find(range => key >= range.from && key <= range.to);
	}

	/** Whether a target may receive work. */
	isUsable(target: TargetInfo): boolean {
		return target.phase === TargetPhase.Ready && !this.evacuated.has(target.domain);
	}

	/** Targets of a service that may receive work, by failure domain where one is named. */
	usableTargets(service: string, domain?: string): TargetInfo[] {
		return [...this.targets.values()].filter(target => target.service === service
			&& this.isUsable(target)
			&& (domain === undefined || target.domain === domain));
	}

	/** Name of the instance in charge of a desk. */
	findSteward(desk: string): string | undefined {
		return this.store.get<string>(`steward/${desk}`);
	}

	/** Instances known. */
	nodes(): readonly NodeInfo[] {
		this.refreshNodes();
		return this.nodeRows;
	}

	/** The instance that listens on an address for other instances. */
	findNodeByAddr(addr: string): NodeInfo | undefined {
		this.refreshNodes();
		return this.nodesByAddr.get(addr);
	}

	/** Takes a configuration in force, unless a later one is. */
	setConfig(config: GatewayConfig): boolean {
		if (this.configVersion !== undefined && config.version <= this.configVersion) {
			return false;
		}

		const routes = new Map(config.routes.map(route => [`route/${route.name}`, route]));
		const services = new Map(config.services.map(service => [`service/${service.name}`, service]));
		this.replacePrefix('route/', routes);
		this.replacePrefix('service/', services);
		this.store.set('config', {version: config.version, limits: config.limits} satisfies ConfigHead);
		return true;
	}

	/** Replaces everything under a prefix. */
	replacePrefix(prefix: string, rows: ReadonlyMap<string, unknown>): void {
		for (const [key] of this.store.withPrefix(prefix)) {
			if (!rows.has(key)) {
				this.store.remove(key);
			}
		}

		for (const [key, value] of rows) {
			this.store.set(key, value);
		}
	}

	/** Takes in what the leader sent. An older configuration never replaces a later one. */
	apply(delta: Delta): void {
		const head = delta.set.find(([key]) => key === 'config')?.[1] as ConfigHead | undefined;
		const isOlder = this.configVersion !== undefined && (head === undefined ? delta.isFull : head.version < this.configVersion);
		if (isOlder) {
			const isConfig = (key: string) => key === 'config' || key.startsWith('route/') || key.startsWith('service/');
			const kept = delta.isFull
				? this.store.deltaSince(-1).set.filter(([key]) => isConfig(key))
				: [];
			this.store.apply({
				...delta,
				set: [...delta.set.filter(([key]) => !isConfig(key)), ...kept],
				gone: delta.gone.filter(key => !isConfig(key)),
			});
		} else {
			this.store.apply(delta);
		}

		this.notifyListeners();
	}

	/** Tells listeners that the store was written. */
	notifyListeners(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}

	/** Runs `rebuild` if something under one of the parts changed since the last time. */
	private refresh(part: string, rebuild: () => void): void {
		const seq = this.store.lastSeqOfPart(part);
		if (this.builtAt.get(part) !== seq) {
			this.builtAt.set(part, seq);
			rebuild();
		}
	}

	private refreshNodes(): void {
		this.refresh('node', () => {
			this.nodeRows = [...this.store.withPrefix<NodeInfo>('node/')].map(([, node]) => node);
			this.nodesByAddr = new Map(this.nodeRows.map(node => [node.addr, node]));
		});
	}

	private buildRanges(): void {
		this.ranges = new Map();
		for (const [key, range] of this.store.withPrefix<OwnedRange>('keys/')) {
			const [, service, from] = key.split('/');
			const list = this.ranges.get(service) ?? [];
			list.push({...range, from: Number(from)});
			this.ranges.set(service, list);
		}
	}
}
