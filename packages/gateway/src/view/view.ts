/**
 * The replicated state of the deployment as an instance knows it: the active configuration, targets, key owners and
 * stewards. The leader writes it and replicates it to all instances.
 */
import {
	bodyLengthOf, HostRoutes, TargetPhase, type CallerLimits, type HostRoute, type Service, type Suspect, type TargetInfo, type Team,
} from '@bluebellyard/core';
import type {GatewayConfig} from '../ports/index.js';
import {DeltaStore, type Delta} from './delta-store.js';
import {DirectReading} from './direct-reading.js';
import {isKnownService} from './known-service.js';
import {isConfigRow, LeaderConfig, toConfigRows} from './leader-config.js';
import type {NodeInfo} from './node-info.js';
import {TeamTable} from './team-table.js';
import {
	ceilingPart, cutPart, leavingPart, limitPart, suspectPart,
} from './view-parts.js';

/** A key range by which requests of callers are routed. */
export type OwnedRange = {
	readonly to: number;
	/** Incarnation id of the target; empty if the range has no owner. */
	readonly owner: string;
	/** Whether the owner confirmed the grant. */
	readonly isOpen: boolean;
};

type ConfigHeader = {
	readonly version: number;
	readonly limits: CallerLimits;
};

/** Limits that apply until a configuration is known. */
const initialLimits: CallerLimits = {
	headerBytes: 16_384, bodyBytes: 67_108_864, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** Largest number of announcements that an instance remembers on its own; far more than targets leave within the life of a process that hears no leader. */
const maxAnnouncements = 4096;

/** Typed access to the replicated state. */
export class View {
	readonly store = new DeltaStore();
	/** What this instance has read in the store itself, in addition to what its leader tells. */
	readonly direct = new DirectReading();
	private readonly teamTable = new TeamTable(this.store);
	/** Sequence number at which each cached table was built, by key part. */
	private readonly builtAtSeq = new Map<string, number>();
	private hostRoutes = new HostRoutes([]);
	private servicesOfLarge: ReadonlySet<string> = new Set<string>();
	private servicesByName = new Map<string, Service>();
	private targetsById = new Map<string, TargetInfo>();
	private evacuatedDomains = new Set<string>();
	private cutOffNames: ReadonlySet<string> = new Set<string>();
	private limitsById = new Map<string, number>();
	private ceilingsByTeam = new Map<string, number>();
	private suspectsByPrint = new Map<string, Suspect>();
	private suspectLengths = new Set<number>();
	/** Targets that announced their leaving to this instance itself. */
	private readonly announced = new Set<string>();
	private nodeList: NodeInfo[] = [];
	private nodesByAddr = new Map<string, NodeInfo>();
	private rangesByService = new Map<string, Array<{from: number} & OwnedRange>>();
	private readonly listeners = new Set<() => void>();
	/** Configuration of the leader while this instance keeps a newer one. */
	private leaderConfig: LeaderConfig | undefined;

	/** Version of the active configuration; undefined before the first one. */
	get configVersion(): number | undefined {
		return this.store.get<ConfigHeader>('config')?.version;
	}

	/** Whether the configuration is one that this instance kept and not the leader's. */
	get keepsOwnConfig(): boolean {
		return this.leaderConfig !== undefined;
	}

	/** Limits on callers. */
	get limits(): CallerLimits {
		return this.store.get<ConfigHeader>('config')?.limits ?? initialLimits;
	}

	/** Routes of the active configuration. */
	get routes(): HostRoutes {
		this.rebuildRoutes();
		return this.hostRoutes;
	}

	/** Whether a route of the active configuration has large answers. */
	get hasLargeAnswers(): boolean {
		return this.largeServices.size > 0;
	}

	/** Names of the services to which the active configuration has a route with large answers. */
	get largeServices(): ReadonlySet<string> {
		this.rebuildRoutes();
		return this.servicesOfLarge;
	}

	/** Teams of the active configuration. */
	get teams(): readonly Team[] {
		return this.teamTable.teams;
	}

	/** Whether the active configuration has teams, so that callers need keys. */
	get hasTeams(): boolean {
		return this.teams.length > 0;
	}

	/** All known targets, by incarnation id. */
	get targets(): ReadonlyMap<string, TargetInfo> {
		this.rebuildIfChanged('target', () => {
			this.targetsById = new Map([...this.store.withPrefix<TargetInfo>('target/')].map(([, target]) => [target.id, target]));
		});
		return this.targetsById;
	}

	/** Limits that targets name, by target id, in requests per second for all instances together. */
	get namedLimits(): ReadonlyMap<string, number> {
		this.rebuildIfChanged(limitPart, () => {
			this.limitsById = new Map([...this.store.withPrefix<number>(`${limitPart}/`)].map(([key, limit]) => [key.slice(limitPart.length + 1), limit]));
		});
		return this.limitsById;
	}

	/** Published ceilings of teams for each instance, in requests per second. */
	get teamCeilings(): ReadonlyMap<string, number> {
		this.rebuildIfChanged(ceilingPart, () => {
			this.ceilingsByTeam = new Map([...this.store.withPrefix<number>(`${ceilingPart}/`)].map(([key, perSecond]) => [key.slice(ceilingPart.length + 1), perSecond]));
		});
		return this.ceilingsByTeam;
	}

	/** Requests under which targets ended, by fingerprint. */
	get suspects(): ReadonlyMap<string, Suspect> {
		this.rebuildSuspects();
		return this.suspectsByPrint;
	}

	/** Lengths of the bodies of these requests, in bytes. */
	get suspectBodyLengths(): ReadonlySet<number> {
		this.rebuildSuspects();
		return this.suspectLengths;
	}

	/** Failure domains that operators took out of service. */
	get evacuated(): ReadonlySet<string> {
		this.rebuildIfChanged('evacuated', () => {
			this.evacuatedDomains = new Set([...this.store.withPrefix<true>('evacuated/')].map(([key]) => key.slice('evacuated/'.length)));
		});
		return this.evacuatedDomains;
	}

	/** Names of the instances that are cut off from the targets; another set after each change. */
	get cutOffInstances(): ReadonlySet<string> {
		this.rebuildIfChanged(cutPart, () => {
			this.cutOffNames = new Set([...this.store.withPrefix<true>(`${cutPart}/`)].map(([key]) => key.slice(cutPart.length + 1)));
		});
		return this.cutOffNames;
	}

	/** Returns whether an instance is cut off from the targets. */
	isCutOff(instance: string): boolean {
		return this.cutOffInstances.has(instance);
	}

	/** Services of the active configuration, by name. */
	get allServices(): ReadonlyMap<string, Service> {
		this.rebuildIfChanged('service', () => {
			this.servicesByName = new Map([...this.store.withPrefix<Service>('service/')].map(([, service]) => [service.name, service]));
		});
		return this.servicesByName;
	}

	/** Era of the store that the entries of targets and operators are based on; undefined before the first answer. */
	get storeEra(): number | undefined {
		return this.store.get<number>('store-era');
	}

	/** Registers a listener that is called after each change. */
	onChange(listener: () => void): void {
		this.listeners.add(listener);
	}

	/** Returns the team that has the key with a digest; undefined if no team has it. */
	findTeam(digest: string): Team | undefined {
		return this.teamTable.find(digest);
	}

	/** Returns the range of a sharded service that contains the key. */
	findRange(service: string, key: number): ({from: number} & OwnedRange) | undefined {
		this.rebuildIfChanged('keys', () => {
			this.rebuildRanges();
		});
		return this.rangesByService.get(service)?.find(range => key >= range.from && key <= range.to);
	}

	/** Returns whether a target may receive work. */
	isUsable(target: TargetInfo): boolean {
		const {evacuated, left} = this.direct;
		return target.phase === TargetPhase.Ready && isKnownService(this, target.service) && !left.has(target.id) && !this.isLeaving(target.id)
			&& !evacuated.has(target.domain) && !this.evacuated.has(target.domain);
	}

	/** Returns whether a target announced that it leaves, to this instance or to another one. */
	isLeaving(targetId: string): boolean {
		return this.announced.has(targetId) || this.store.get(`${leavingPart}/${targetId}`) !== undefined;
	}

	/** Returns the targets that announced their leaving, by what the instances together know. */
	leavingTargets(): string[] {
		return [...this.store.withPrefix(`${leavingPart}/`)].map(([key]) => key.slice(leavingPart.length + 1));
	}

	/** Targets that announced their leaving to this instance itself. */
	get announcedLeaving(): ReadonlySet<string> {
		return this.announced;
	}

	/** Records that a target announced its leaving to this instance. Returns false if that was known. */
	recordLeaving(targetId: string): boolean {
		if (this.isLeaving(targetId)) {
			return false;
		}

		if (this.announced.size >= maxAnnouncements) {
			this.announced.clear();
		}

		this.announced.add(targetId);
		this.notifyListeners();
		return true;
	}

	/** Returns the targets of a service that may receive work, optionally those of one failure domain. */
	usableTargets(service: string, domain?: string): TargetInfo[] {
		return [...this.targets.values()].filter(target => target.service === service
			&& this.isUsable(target)
			&& (domain === undefined || target.domain === domain));
	}

	/** Returns the name of the instance that is the steward of a dispatch queue. */
	findSteward(queueId: string): string | undefined {
		return this.store.get<string>(`steward/${queueId}`);
	}

	/** Returns the known instances. */
	nodes(): readonly NodeInfo[] {
		this.rebuildNodes();
		return this.nodeList;
	}

	/** Returns the instance that accepts connections of other instances on an address. */
	findNodeByAddr(addr: string): NodeInfo | undefined {
		this.rebuildNodes();
		return this.nodesByAddr.get(addr);
	}

	/** Activates a configuration. Returns false if the active one is as new or newer. */
	setConfig(config: GatewayConfig): boolean {
		if (this.configVersion !== undefined && config.version <= this.configVersion) {
			return false;
		}

		const rows = toConfigRows(config);
		for (const key of this.configRows().keys()) {
			if (!rows.has(key)) {
				this.store.remove(key);
			}
		}

		for (const [key, row] of rows) {
			this.store.set(key, row);
		}

		this.leaderConfig = undefined;
		return true;
	}

	/** Records the era of the store, so that instances which do not read the store know it, too. */
	setStoreEra(era: number): void {
		this.store.set('store-era', era);
	}

	/** Replaces all rows under a prefix. */
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

	/** Applies changes from the leader. An older configuration never replaces a newer one, and each one takes effect as a whole. */
	apply(delta: Delta): void {
		const {configVersion} = this;
		const header = delta.set.find(([key]) => key === 'config')?.[1] as ConfigHeader | undefined;
		const isOlder = configVersion !== undefined && (header === undefined ? delta.isFull || delta.gone.includes('config') : header.version < configVersion);
		const hasConfigRows = delta.isFull || header !== undefined || delta.gone.some(key => isConfigRow(key)) || delta.set.some(([key]) => isConfigRow(key));
		if (!hasConfigRows || (this.leaderConfig === undefined && !isOlder)) {
			this.store.apply(delta);
		} else {
			const own = this.configRows();
			const leaderConfig = (this.leaderConfig ?? new LeaderConfig(own)).after(delta);
			const keepsOwn = configVersion !== undefined && leaderConfig.version < configVersion;
			this.leaderConfig = keepsOwn ? leaderConfig : undefined;
			this.store.apply((keepsOwn ? new LeaderConfig(own) : leaderConfig).replace(own, delta));
		}

		this.notifyListeners();
	}

	/** Takes over a configuration that this instance has read in the store before its leader told it, unless the active one is as new or newer. */
	setConfigAhead(config: GatewayConfig): void {
		this.applyConfig(toConfigRows(config));
	}

	/** Replaces the configuration by the rows of a newer one that the leader sends ahead of its view; the state of the view stays as it is. */
	applyConfig(rows: ReadonlyMap<string, unknown>): void {
		const {configVersion} = this;
		const config = new LeaderConfig(rows);
		if (configVersion === undefined || config.version > configVersion) {
			const own = this.configRows();
			this.leaderConfig ??= new LeaderConfig(own);
			this.store.apply(config.replace(own, {
				isFull: false, seq: 0, set: [], gone: [],
			}));
			this.notifyListeners();
		}
	}

	/** Returns the value of a row in the leader's view, in which the configuration may be another one. */
	leaderRow(key: string): unknown {
		return this.leaderConfig !== undefined && isConfigRow(key) ? this.leaderConfig.rows.get(key) : this.store.get(key);
	}

	/** Makes the configuration of this instance that of the leader, as it leads now. Returns the keys in which the two may differ. */
	adoptOwnConfig(): string[] {
		const keys = this.leaderConfig === undefined ? [] : [...this.leaderConfig.rows.keys(), ...this.configRows().keys()];
		this.leaderConfig = undefined;
		return keys;
	}

	/** Returns the rows of the active configuration. */
	configRows(): ReadonlyMap<string, unknown> {
		return new Map([...this.store.withPrefix<unknown>('')].filter(([key]) => isConfigRow(key)));
	}

	/** Notifies the listeners of a change. */
	notifyListeners(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}

	/** Calls `rebuild` if a row under the part changed since the table was last built. */
	private rebuildIfChanged(part: string, rebuild: () => void): void {
		const seq = this.store.lastSeqOfPart(part);
		if (this.builtAtSeq.get(part) !== seq) {
			this.builtAtSeq.set(part, seq);
			rebuild();
		}
	}

	private rebuildRoutes(): void {
		this.rebuildIfChanged('route', () => {
			const routes = [...this.store.withPrefix<HostRoute>('route/')].map(([, route]) => route);
			this.hostRoutes = new HostRoutes(routes);
			this.servicesOfLarge = new Set(routes.filter(route => route.hasLargeAnswers === true).flatMap(({services}) => services.map(({service}) => service)));
		});
	}

	private rebuildSuspects(): void {
		this.rebuildIfChanged(suspectPart, () => {
			this.suspectsByPrint = new Map([...this.store.withPrefix<Suspect>(`${suspectPart}/`)].map(([key, suspect]) => [key.slice(suspectPart.length + 1), suspect]));
			this.suspectLengths = new Set([...this.suspectsByPrint.keys()].map(print => bodyLengthOf(print)));
		});
	}

	private rebuildNodes(): void {
		this.rebuildIfChanged('node', () => {
			this.nodeList = [...this.store.withPrefix<NodeInfo>('node/')].map(([, node]) => node);
			this.nodesByAddr = new Map(this.nodeList.map(node => [node.addr, node]));
		});
	}

	private rebuildRanges(): void {
		this.rangesByService = new Map();
		for (const [key, range] of this.store.withPrefix<OwnedRange>('keys/')) {
			const [, service, from] = key.split('/');
			const ranges = this.rangesByService.get(service) ?? [];
			ranges.push({...range, from: Number(from)});
			this.rangesByService.set(service, ranges);
		}
	}
}
