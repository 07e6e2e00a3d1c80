import test from 'ava';
import {
	createRecord, encodeRecord, RecordKind, type RecordBody,
} from '../records/index.js';
import {
	decodeTables, encodeTables, InstanceState, type Tables,
} from '../state/index.js';
import type {Identity} from './context.js';
import {EffectKind, type Effect} from './effect.js';
import {Member} from './member.js';
import {defaultTiming} from './timing.js';

const tickMs = 20;

function makeIdentity(id: string): Identity {
	return {
		id, name: id, domain: id.slice(0, 1), peerAddr: id, internalAddr: id, controlAddr: id,
	};
}

/** Members that read one log and exchange messages without delay, where the network lets them. */
class Deployment {
	/** Instances that could still act when the log said that their eviction is complete. */
	readonly actingAfterEviction: string[] = [];
	readonly members = new Map<string, Member>();
	now = 0;
	private numbers = 0;
	private readonly log: string[] = [];

	constructor(ids: readonly string[]) {
		for (const id of ids) {
			this.members.set(id, new Member({self: makeIdentity(id), timing: defaultTiming, random: () => this.random()}));
		}

		for (const id of ids) {
			this.append({kind: RecordKind.Join, instance: id, ...makeIdentity(id)}, id);
		}
	}

	/** Returns whether two members reach each other. */
	reaches: (a: string, b: string) => boolean = () => true;
	/** Returns whether a member reaches the log. */
	reachesLog: (id: string) => boolean = () => true;

	/** Returns whether the instance could act now. */
	mayAct(id: string): boolean {
		return this.members.get(id)!.rightUntil() > this.now;
	}

	/** Appends a record without a failure. */
	append(body: RecordBody, by: string): void {
		this.log.push(encodeRecord(createRecord(body, `record-${this.log.length}`, by)));
	}

	/** Ends all processes and starts new ones at their addresses. */
	restartAll(): void {
		const addrs = [...this.members.keys()];
		this.members.clear();
		for (const addr of addrs) {
			this.start(addr);
		}
	}

	/** Lets the given members reach one another only. */
	cutOff(...ids: readonly string[]): void {
		this.reaches = (a, b) => ids.includes(a) === ids.includes(b);
		this.reachesLog = id => !ids.includes(id);
	}

	/** Advances the time by `ms`. */
	run(ms: number): void {
		const end = this.now + ms;
		while (this.now < end) {
			this.now += tickMs;
			for (const member of this.members.values()) {
				this.read(member);
				for (const effect of member.tick(this.now)) {
					this.carryOut(member, effect);
				}
			}
		}
	}

	private random(): number {
		this.numbers += 1;
		return (this.numbers * 0.618) % 1;
	}

	private read(member: Member): void {
		if (!this.reachesLog(member.id)) {
			return;
		}

		for (let offset = member.tables.folded + 1; offset <= this.log.length; offset++) {
			const {accepted, record} = member.fold(offset, this.log[offset - 1]);
			if (accepted && record?.kind === RecordKind.Evicted) {
				this.checkEvicted(member);
			}
		}

		member.handleLogTail(this.now, this.log.length + 1);
	}

	private checkEvicted(reader: Member): void {
		for (const {id} of reader.tables.instances.values()) {
			if (!reader.memberIds().includes(id) && this.members.has(id) && this.mayAct(id)) {
				this.actingAfterEviction.push(id);
			}
		}
	}

	private carryOut(member: Member, effect: Effect): void {
		if (effect.kind === EffectKind.Append && this.reachesLog(member.id)) {
			this.log.push(encodeRecord(effect.record));
		}

		if (effect.kind === EffectKind.Heartbeat && this.reaches(member.id, effect.peer)) {
			member.handleHeartbeatAnswer(effect, this.at(effect.addr).answerHeartbeat(member.id, this.now), this.now);
		}

		if (effect.kind === EffectKind.Confirm && this.reaches(member.id, effect.peer) && this.at(effect.addr).hasFolded(effect.eviction, effect.evicted)) {
			member.handleConfirmation(effect.peer, effect.eviction, this.at(effect.addr).id);
		}

		if (effect.kind === EffectKind.Rejoin) {
			this.rejoin(member);
		}
	}

	private rejoin(member: Member): void {
		this.start(member.id, member.id, decodeTables(encodeTables(member.tables)));
	}

	private start(addr: string, former?: string, tables?: Tables): void {
		const id = `${addr}-again`;
		this.members.set(id, new Member({
			self: {...makeIdentity(addr), id}, former, timing: defaultTiming, random: () => this.random(), tables,
		}));
	}

	/** Returns the process at an address: the one that was started last. */
	private at(addr: string): Member {
		return [...this.members.values()].findLast(member => member.id === addr || member.id === `${addr}-again`)!;
	}
}

// The leave record takes the leaving instance out of those that must confirm an eviction,
// although it had not read the eviction and went on vouching for the evicted instance.
test('an instance that is leaving vouches for no evicted one', t => {
	const deployment = new Deployment(['a0', 'a1', 'a2', 'b0']);
	deployment.run(1000);
	deployment.members.get('a2')!.leave();
	deployment.members.get('a2')!.tick(deployment.now);
	deployment.append({
		kind: RecordKind.Leave, instance: 'a2', idsHandedOver: false, idsHolder: '', copiesHolder: '',
	}, 'a2');
	deployment.cutOff('a1', 'a2');
	deployment.run(3000);
	t.deepEqual(deployment.members.get('a0')!.memberIds(), ['a0', 'b0']);
	t.deepEqual(deployment.actingAfterEviction, []);
	t.false(deployment.mayAct('a1'));
});

// Two evicted instances vouch for each other. When one of them came back, the wait for the
// other fell to the length of one right, counted from confirmations seconds old.
test('an eviction waits for the other evicted instance when one of two comes back', t => {
	const deployment = new Deployment(['a0', 'a1', 'a2', 'b0']);
	deployment.run(1000);
	deployment.cutOff('a1', 'a2');
	deployment.run(5000);
	t.true(deployment.mayAct('a1'));
	deployment.cutOff('a1');
	deployment.run(20_000);
	t.deepEqual(deployment.members.get('a0')!.memberIds(), ['a0', 'b0', 'a2-again']);
	t.deepEqual(deployment.actingAfterEviction, []);
});

// Two evicted instances vouch for each other. The end of the first eviction counted as if the
// first instance had stopped, so that the second eviction no longer asked those in contact.
test('the end of one eviction does not shorten another one of the failure domain', t => {
	const deployment = new Deployment(['a0', 'a1', 'a2', 'b0', 'b1']);
	deployment.run(1000);
	const links = new Set(['a1 a2', 'a1 b0', 'a1 b1', 'a0 b0', 'a0 b1', 'b0 b1']);
	deployment.reaches = (a, b) => links.has([a, b].toSorted().join(' '));
	deployment.reachesLog = id => !['a1', 'a2'].includes(id);
	deployment.append({kind: RecordKind.Evict, members: ['a2']}, 'a0');
	deployment.run(200);
	deployment.reachesLog = id => id === 'a0';
	deployment.run(40_000);
	t.true(deployment.mayAct('a1'));
	t.deepEqual(deployment.actingAfterEviction, []);
});

// An instance that left while evicted had vouched for the other one until then.
test('an eviction waits one right after the other evicted instance has left', t => {
	const deployment = new Deployment(['a0', 'a1', 'a2', 'b0']);
	deployment.run(1000);
	deployment.cutOff('a1', 'a2');
	deployment.run(5000);
	t.true(deployment.mayAct('a1'));
	const leaving = deployment.members.get('a2')!;
	leaving.leave();
	leaving.tick(deployment.now);
	deployment.append({
		kind: RecordKind.Leave, instance: 'a2', idsHandedOver: false, idsHolder: '', copiesHolder: '',
	}, 'a2');
	deployment.run(1000);
	t.deepEqual(deployment.members.get('a0')!.memberIds(), ['a0', 'b0']);
	t.deepEqual(deployment.actingAfterEviction, []);
});

// Evicted instances of two domains had to confirm each other's evictions, although they had
// ended, so that the stewardships of the former processes were never given away.
for (const ids of [['a0', 'a1', 'b0', 'b1'], ['a0', 'a1', 'a2', 'a3'], ['a0', 'b0', 'c0'], ['a0', 'a1', 'b0', 'b1', 'c0']]) {
	test(`instances ${ids.join(' ')} take over when all were restarted at once`, t => {
		const deployment = new Deployment(ids);
		deployment.run(1000);
		const {isolationMs, rightMs} = defaultTiming;
		deployment.restartAll();
		deployment.run((isolationMs + rightMs) * 1.1);
		const {tables} = deployment.members.get('a0-again')!;
		t.deepEqual(ids.map(id => tables.instances.get(id)?.state), ids.map(() => InstanceState.Removed));
	});
}

// An instance that had read more of the log than it still held confirmed an eviction that it had never read.
test('an eviction of an instance that still counts as a member is not confirmed', t => {
	const deployment = new Deployment(['a0', 'a1']);
	deployment.run(100);
	const member = deployment.members.get('a0')!;
	t.false(member.hasFolded(member.tables.folded, ['a1']));
	deployment.append({kind: RecordKind.Evict, members: ['a1']}, 'a0');
	deployment.run(tickMs);
	t.true(member.hasFolded(member.tables.folded, ['a1']));
});
