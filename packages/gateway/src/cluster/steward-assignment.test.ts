import test from 'ava';
import {
	ManualClock, Repeat, TargetPhase, type HostRoute,
} from '@bluebellyard/core';
import {Telemetry} from '../telemetry/index.js';
import {
	sharedQueueId, View, weighQueues, type NodeInfo,
} from '../view/index.js';
import {Measurements} from './measurements.js';
import {StewardAssignment} from './steward-assignment.js';

function node(name: string): NodeInfo {
	return {
		name, domain: 'x', incarnation: name, addr: '10.0.0.1:1', cores: 0.2,
	};
}

/** Assigns the queues of the given number of services to two instances, and returns how many each gets. */
function assign(delays: Readonly<Record<string, number | undefined>>, services: number): number[] {
	const view = new View();
	for (let i = 0; i < services; i += 1) {
		view.store.set(`target/t${i}`, {
			id: `t${i}`, name: `t${i}`, service: `s${i}`, addr: '10.0.0.2:1', domain: 'x', slots: 1, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
		});
	}

	view.notifyListeners();
	const measurements = new Measurements(new Map(), [], 0);
	for (const [name, delayMs] of Object.entries(delays)) {
		measurements.apply(name, {
			keys: {}, slowness: [], ...(delayMs !== undefined && {delayMs}), isLeaving: false,
		}, 0);
	}

	const assignment = new StewardAssignment({
		view,
		telemetry: new Telemetry(new ManualClock()),
		reader: {remainingColdMs: () => 0},
		liveNodes: () => Object.keys(delays).map(name => node(name)),
		delayMs: name => measurements.delayMs(name),
	});
	assignment.update(0);
	const stewards = Array.from({length: services}, (_, i) => view.findSteward(sharedQueueId(`s${i}`, 'x')));
	return Object.keys(delays).map(name => stewards.filter(steward => steward === name).length);
}

// Requests that other instances forward to a steward are not rejected by its admission check.
test('instances with little delay get new stewardships first', t => {
	t.deepEqual(assign({busy: 200, idle: 0}, 4), [0, 4]);
	t.deepEqual(assign({busy: 50, idle: 0}, 9), [3, 6]);
});

test('an instance that does not report its delay gets its share', t => {
	t.deepEqual(assign({earlier: undefined, idle: 0}, 4), [2, 2]);
});

/** Link and CPU time of the instances of each domain, in Mbit/s and cores: as many as in the deployment with large responses. */
const machineKinds = [{count: 2, linkMbps: 200, cores: 1.35}, {count: 6, linkMbps: 18, cores: 0.675}, {count: 15, linkMbps: 10, cores: 0.203}];

/** Responses of the route with large responses in one domain: 121 / 3 a second of 90 KB, in Mbit/s. */
const largeMbps = 29;

/** A deployment of three domains with services of 18 targets: `files`, which may have a route with large responses, and a sharded and a shared one. */
class Deployment {
	readonly view = new View();
	nodes: NodeInfo[] = [];
	private readonly assignment: StewardAssignment;

	constructor(isLarge: boolean, {isSharded, statesLinks = true}: {isSharded: boolean; statesLinks?: boolean}) {
		for (const service of ['keyed', 'shared', 'files']) {
			this.view.store.set(`service/${service}`, {name: service, isSharded: service === 'keyed' || (service === 'files' && isSharded), coldRate: 5});
			for (let i = 0; i < 18; i += 1) {
				const id = `${service}${i}`;
				this.view.store.set(`target/${id}`, {
					id, name: id, service, addr: '10.0.0.2:1', domain: ['a', 'b', 'c'][i % 3], slots: service === 'files' ? 6 : 4, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
				});
			}
		}

		for (const domain of ['a', 'b', 'c']) {
			for (const {count, linkMbps, cores} of machineKinds) {
				for (let i = 0; i < count; i += 1) {
					const name = `${domain}-${linkMbps}-${i}`;
					this.nodes.push({
						name, domain, incarnation: name, addr: name, cores, ...(statesLinks && {linkMbps}),
					});
				}
			}
		}

		this.assignment = new StewardAssignment({
			view: this.view, telemetry: new Telemetry(new ManualClock()), reader: {remainingColdMs: () => 0}, liveNodes: () => this.nodes, delayMs: () => 0, minStewardCores: 0.25,
		});
		this.setLarge(isLarge);
	}

	/** Sets whether the route to `files` has large responses, and assigns the queues. */
	setLarge(hasLargeAnswers: boolean): void {
		this.view.store.set('route/files', {
			name: 'files', host: 'h', prefix: '/', repeat: Repeat.Idempotent, hasLargeAnswers, timeoutMs: 2000, objectiveMs: 500, priority: 1, maxTargets: 2, services: [{service: 'files', weight: 1}],
		} satisfies HostRoute);
		this.assign();
	}

	/** Assigns the queues. Returns the ids of those with another steward than before. */
	assign(): string[] {
		const before = this.stewards();
		this.assignment.update(0);
		return [...this.stewards()].filter(([queueId, name]) => before.get(queueId) !== name).map(([queueId]) => queueId);
	}

	/** Highest share of its link that a steward needs to receive the large responses; it sends as much again. */
	peakLinkShare(): number {
		const needed = new Map<string, number>();
		for (const {queueId, weight} of weighQueues(this.view).filter(queue => queue.queueId.includes('files'))) {
			const name = this.view.findSteward(queueId)!;
			needed.set(name, (needed.get(name) ?? 0) + (largeMbps * weight / 36));
		}

		return Math.max(...[...needed].map(([name, mbps]) => mbps / Number(name.split('-')[1])));
	}

	private stewards(): Map<string, string | undefined> {
		return new Map(weighQueues(this.view).map(({queueId}) => [queueId, this.view.findSteward(queueId)]));
	}
}

// A steward with 18 Mbit/s got the responses of a whole domain, 29 Mbit/s.
for (const isSharded of [false, true]) {
	test(`stewards have the bandwidth for large responses, ${isSharded ? 'sharded' : 'shared'}`, t => {
		const before = new Deployment(false, {isSharded}).peakLinkShare();
		const after = new Deployment(true, {isSharded}).peakLinkShare();
		t.log(`highest share of a link: ${before.toFixed(2)} before, ${after.toFixed(2)} after`);
		t.true(after < 0.25);
	});
}

// Weights change with the configuration; each queue that moves is cold for its targets and gives back what waits.
test('a route that gets large responses moves only queues whose link is too small', t => {
	const deployment = new Deployment(false, {isSharded: true});
	const files = weighQueues(deployment.view).filter(({queueId}) => queueId.includes('files')).map(({queueId}) => queueId);
	const assignedBefore = new Map(files.map(queueId => [queueId, deployment.view.findSteward(queueId)!]));
	deployment.setLarge(true);
	t.true(deployment.peakLinkShare() < 0.25);
	for (const [queueId, before] of assignedBefore) {
		t.true(deployment.view.findSteward(queueId) === before || before.includes('-18-'), `${queueId} moved from ${before}`);
	}

	t.deepEqual(deployment.assign(), []);
});

test('the loss and return of an instance with a large link moves few queues', t => {
	const deployment = new Deployment(true, {isSharded: true});
	const all = deployment.nodes;
	const lost = deployment.view.findSteward('target:files0')!;
	const held = weighQueues(deployment.view).filter(({queueId}) => deployment.view.findSteward(queueId) === lost).length;
	deployment.nodes = all.filter(({name}) => name !== lost);
	t.is(deployment.assign().length, held);
	t.true(deployment.peakLinkShare() < 0.25);
	deployment.nodes = all;
	t.true(deployment.assign().length <= 2);
	t.deepEqual(deployment.assign(), []);
});

// Instances of an earlier version state no bandwidth, and outside the users' platform the setting may be absent.
test('without stated bandwidths queues are assigned by CPU time alone', t => {
	const deployment = new Deployment(true, {isSharded: false, statesLinks: false});
	t.true([...weighQueues(deployment.view)].every(({queueId}) => deployment.view.findSteward(queueId) !== undefined));
	t.false([...weighQueues(deployment.view)].some(({queueId}) => deployment.view.findSteward(queueId)!.includes('-10-')));
});
