import test from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {Telemetry} from '../telemetry/index.js';
import {View, type NodeInfo} from '../view/index.js';
import {LeadHandover, type HandoverLeader} from './lead-handover.js';
import {PeerOp} from './messages.js';

function node(name: string, cores = 1, domain = 'x'): NodeInfo {
	return {
		name, domain, incarnation: name, addr: name, cores,
	};
}

class Harness {
	readonly view = new View();
	/** Instances that were asked to take over. */
	readonly asked: string[] = [];
	readonly ops = new Set<string>();
	isRecovering = false;
	storeAgeMs = 0;
	readonly handover: LeadHandover;

	constructor(private readonly live: readonly NodeInfo[]) {
		this.handover = new LeadHandover({
			self: live[0],
			view: this.view,
			net: {
				call: async (addr, op) => {
					this.asked.push(addr);
					this.ops.add(op);

					return true;
				},
			},
			telemetry: new Telemetry(new ManualClock()),
			random: () => 0,
		});
		this.handover.recordStart(0);
	}

	setCutOff(...names: readonly string[]): void {
		this.view.replacePrefix('cut/', new Map(names.map(name => [`cut/${name}`, true])));
	}

	get leader(): HandoverLeader {
		return {
			leadership: {era: 1, term: 1}, isRecovering: this.isRecovering, storeAgeMs: this.storeAgeMs, followers: {liveNodes: () => [...this.live]},
		};
	}
}

test('a leader that is cut off hands over at once to an instance that is not', t => {
	const harness = new Harness([node('e0'), node('e1'), node('e2')]);
	harness.setCutOff('e0', 'e1');
	harness.handover.tick(harness.leader, 100);
	t.deepEqual(harness.asked, ['e2']);
	t.deepEqual([...harness.ops], [PeerOp.TakeOver]);
});

test('it asks again when nobody has taken over after a second', t => {
	const harness = new Harness([node('e0'), node('e1')]);
	harness.setCutOff('e0');
	for (let now = 0; now <= 2000; now += 100) {
		harness.handover.tick(harness.leader, now);
	}

	t.is(harness.asked.length, 3);
});

test('nothing changes if all instances are cut off', t => {
	const harness = new Harness([node('e0'), node('e1', 4)]);
	harness.setCutOff('e0', 'e1');
	harness.handover.tick(harness.leader, 10_000);
	t.deepEqual(harness.asked, []);
});

test('a larger instance leads instead, but not while it is cut off', t => {
	const harness = new Harness([node('e0'), node('e1', 4)]);
	harness.setCutOff('e1');
	harness.handover.tick(harness.leader, 5000);
	t.deepEqual(harness.asked, []);
	harness.setCutOff();
	harness.handover.tick(harness.leader, 5100);
	t.deepEqual(harness.asked, ['e1']);
});

test('a leader that alone knows its grants keeps the lead', t => {
	const harness = new Harness([node('e0'), node('e1')]);
	harness.isRecovering = true;
	harness.setCutOff('e0');
	harness.handover.tick(harness.leader, 5000);
	t.deepEqual(harness.asked, []);
});

test('a leader that is cut off keeps the lead while the store does not answer', t => {
	const harness = new Harness([node('e0'), node('e1')]);
	harness.storeAgeMs = 1001;
	harness.setCutOff('e0');
	harness.handover.tick(harness.leader, 5000);
	t.deepEqual(harness.asked, []);
	harness.storeAgeMs = 300;
	harness.handover.tick(harness.leader, 5100);
	t.deepEqual(harness.asked, ['e1']);
});

test('a leader that is cut off prefers a successor of another domain, as its own may be cut off as a whole', t => {
	const harness = new Harness([node('e0'), node('e1', 4), node('e2', 1, 'y')]);
	harness.setCutOff('e0');
	harness.handover.tick(harness.leader, 100);
	t.deepEqual(harness.asked, ['e2']);
});

test('a leaving leader prefers a successor that is not cut off', t => {
	const harness = new Harness([node('e0'), node('e1', 4), node('e2')]);
	harness.setCutOff('e1');
	harness.handover.leave(harness.leader);
	t.deepEqual(harness.asked, ['e2']);
});
