import test from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {MemoryLog} from '../mocks/index.js';
import type {PeerNet} from '../peers/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View, type NodeInfo} from '../view/index.js';
import {Directory} from './directory.js';
import {KnownInstances} from './known-instances.js';
import {ElectionOutcome, LeaderElection, type Candidacy} from './leader-election.js';
import type {SendEnds} from './former-leaders.js';
import type {LeaderRecord} from './leader-record.js';
import type {LeaderQueryReply} from './messages.js';
import {OwnerLog} from './owner-log.js';

const topic = 'keyed.bluebellyard-owners';

function node(name: string): NodeInfo {
	return {
		name, domain: 'x', incarnation: `${name}-1`, addr: `${name}:1`, cores: 1,
	};
}

/** Instance e0 follows the leader e1, of term 5 in era 1; it does not know e2, which is registered, too. By default, no instance answers queries. */
class Harness {
	readonly clock = new ManualClock(100_000);
	readonly store = new MemoryLog();
	readonly ownerLog = new OwnerLog(this.store);
	/** Answer of other instances to queries; undefined if none answers. */
	answer: LeaderQueryReply | undefined;
	private readonly election: LeaderElection;

	/** The instances that e0 knows at its start may be given. */
	constructor(known: readonly string[] = ['e1']) {
		const self = node('e0');
		const net: Pick<PeerNet, 'call'> = {
			call: async () => {
				if (this.answer === undefined) {
					throw new Error('no answer');
				}

				return this.answer;
			},
		};
		this.store.era = 1;
		const knownInstances = new KnownInstances({
			self, view: new View(), net: net as PeerNet, random: () => 0,
		});
		for (const name of known) {
			knownInstances.add(node(name));
		}

		this.election = new LeaderElection({
			self,
			ownerLog: this.ownerLog,
			directory: new Directory(this.store),
			knownInstances,
			clock: this.clock,
			telemetry: new Telemetry(this.clock),
			timing: {leaseMs: 6000, transitMs: 500},
		});
	}

	async start(): Promise<void> {
		const directory = new Directory(this.store);
		await directory.announce(node('e1'));
		await directory.announce(node('e2'));
		await this.ownerLog.claimLead({
			era: 1, term: 5, name: 'e1', incarnation: 'e1-1', formers: [], isRecovering: false,
		}, await this.ownerLog.read());
	}

	async stand(candidacy: Partial<Candidacy> = {}): Promise<ElectionOutcome> {
		const {outcome} = await this.elect(candidacy);
		return outcome;
	}

	async elect(candidacy: Partial<Candidacy> = {}): Promise<{outcome: ElectionOutcome; knownEnds?: SendEnds}> {
		return this.election.stand({
			isSuccessor: false, leadership: {era: 1, term: 5}, leaderName: 'e1', contactAgeMs: 5000, knownEnds: new Map(), ...candidacy,
		});
	}

	/** Replaces the record of the leader e1. */
	async recordLeader(changes: Partial<LeaderRecord>): Promise<void> {
		const state = await this.ownerLog.read();
		await this.ownerLog.claimLead({...state.leader!, ...changes}, state);
	}

	async formers(): Promise<readonly string[] | undefined> {
		const leader = await this.recorded();
		return leader?.formers;
	}

	async recorded(): Promise<LeaderRecord | undefined> {
		const {leader} = await this.ownerLog.read();
		return leader;
	}
}

async function setUp(known?: readonly string[]): Promise<Harness> {
	const harness = new Harness(known);
	await harness.start();
	return harness;
}

test('a successor of the recorded leader waits for that leader alone', async t => {
	const harness = await setUp();
	t.is(await harness.stand(), ElectionOutcome.Won);
	const leader = await harness.recorded();
	t.like(leader, {era: 1, term: 6, isRecovering: false});
	t.deepEqual(leader?.formers, ['e1']);
});

// E9 led before e1 and was removed for good; only e1 knows for how long e9 may still have sent grants.
test('what the recorded leader told of the leaders before it counts', async t => {
	const harness = await setUp();
	await harness.recordLeader({formers: ['e8', 'e9']});
	const now = harness.clock.now();
	const knownEnds = new Map([['e8', now + 1000], ['e9', now - 10_000]]);
	const result = await harness.elect({knownEnds});
	t.is(result.outcome, ElectionOutcome.Won);
	t.deepEqual(result.knownEnds, knownEnds);
	t.deepEqual(await harness.formers(), ['e8', 'e1']);
});

test('what another leader told of the leaders before it does not count', async t => {
	const harness = await setUp();
	await harness.recordLeader({term: 4, formers: ['e9']});
	const knownEnds = new Map([['e9', harness.clock.now() - 10_000]]);
	const result = await harness.elect({knownEnds});
	t.is(result.outcome, ElectionOutcome.Won);
	t.is(result.knownEnds?.size, 0);
	t.deepEqual(await harness.formers(), ['e9', 'e1']);
});

test('an instance that restarted asks others what the recorded leader told', async t => {
	const harness = await setUp();
	await harness.recordLeader({formers: ['e9']});
	harness.answer = {
		era: 1, term: 5, isLeader: false, heardAgeMs: 5000, storeAgeMs: 0, formerEndsMs: {e9: -10_000},
	};
	const result = await harness.elect({leadership: {era: 0, term: 0}});
	t.deepEqual(result.knownEnds, new Map([['e9', harness.clock.now() - 10_000]]));
	t.deepEqual(await harness.formers(), ['e1']);
});

// It restarted while the store was away, and stood for election as soon as the store was back without asking anyone.
test('an instance that knows no others asks those that are registered', async t => {
	const harness = await setUp([]);
	await harness.recordLeader({formers: ['e9']});
	harness.answer = {
		era: 1, term: 5, isLeader: false, heardAgeMs: 5000, storeAgeMs: 0, formerEndsMs: {e9: -10_000},
	};
	const result = await harness.elect({leadership: {era: 0, term: 0}});
	t.is(result.outcome, ElectionOutcome.Won);
	t.deepEqual(result.knownEnds, new Map([['e9', harness.clock.now() - 10_000]]));
	harness.answer = {
		era: 1, term: 6, isLeader: false, heardAgeMs: 100, storeAgeMs: 0, formerEndsMs: {},
	};
	const other = await setUp([]);
	other.answer = harness.answer;
	t.is(await other.stand({leadership: {era: 0, term: 0}}), ElectionOutcome.LeaderUnreachable);
});

test('after a return of the store nothing that was told counts', async t => {
	const harness = await setUp();
	await harness.recordLeader({formers: ['e9'], isRecovering: true});
	const result = await harness.elect({knownEnds: new Map([['e9', harness.clock.now() - 10_000]])});
	t.is(result.knownEnds?.size, 0);
});

test('after a return of the store any known instance may have led', async t => {
	const harness = await setUp();
	harness.store.returnWithout(topic, 0);
	t.is(await harness.stand(), ElectionOutcome.Won);
	const leader = await harness.recorded();
	t.like(leader, {era: 2, term: 6, isRecovering: true});
	t.deepEqual(leader?.formers.toSorted(), ['e1', 'e2']);
});

test('a leader of which only lost records tell does not lower the term', async t => {
	const harness = await setUp();
	harness.store.returnWithout(topic, 0);
	t.is(await harness.stand({leadership: {era: 1, term: 8}}), ElectionOutcome.Won);
	t.like(await harness.recorded(), {era: 2, term: 9});
});

test('a leader that is heard gets time to claim the lead after a return of the store', async t => {
	const harness = await setUp();
	harness.store.returnWithout(topic, 0);
	t.is(await harness.stand({contactAgeMs: 600}), ElectionOutcome.Postponed);
	harness.clock.advance(1600);
	t.is(await harness.stand({contactAgeMs: 600}), ElectionOutcome.LeaderUnreachable);
	t.is(await harness.stand({contactAgeMs: 5000}), ElectionOutcome.Won);
});

test('a later leader in the store is followed', async t => {
	const harness = await setUp();
	t.is(await harness.stand({leadership: {era: 1, term: 3}}), ElectionOutcome.OtherElected);
	t.is(await harness.stand({leadership: {era: 2, term: 3}}), ElectionOutcome.Won);
});

// Two leaders granted keys: the later one counted on it that this instance, which answered it, sends no grants.
test('an instance that follows a later leader when the answer to its claim arrives does not lead', async t => {
	const harness = new Harness();
	await harness.start();
	const later = {era: 1, term: 7};
	t.deepEqual(await harness.elect({presentLeadership: () => later}), {outcome: ElectionOutcome.OtherElected, leadership: later});
	const other = new Harness();
	await other.start();
	t.is(await other.stand({presentLeadership: () => ({era: 1, term: 5})}), ElectionOutcome.Won);
});
