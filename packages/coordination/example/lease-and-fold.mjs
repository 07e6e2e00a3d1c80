/**
 * Two workers claim a job through a log; one becomes its owner and acts only
 * while its lease is valid. Run: `node packages/coordination/example/lease-and-fold.mjs`
 */
import {randomUUID} from 'node:crypto';
import {
	Appender, FenceGate, Fold, GrantedLease, HeldLease, LogFollower, parseRecord, AppendOutcomeKind,
} from '@bluebellyard/coordination';
import {FakeLog} from '@bluebellyard/coordination/mocks';

const clock = {now: () => performance.now(), date: () => new Date()};
const driftShare = 0.01;

/** Folds claims `{v, id, worker, base}`. Accepts a claim only if `base` is the offset of the last accepted claim. */
class OwnerFold extends Fold {
	initial() {
		return {worker: null, fence: 0};
	}

	apply(state, offset, data) {
		const parsed = parseRecord(data, new Set([1]));
		if ('fault' in parsed) {
			return {accepted: false, foreign: true, reason: parsed.fault};
		}

		const {id, worker, base} = parsed.value;
		if (base !== state.fence) {
			return {accepted: false, id, reason: 'stale'};
		}

		state.worker = worker;
		state.fence = offset;
		return {accepted: true, id};
	}

	encode(state) {
		return JSON.stringify([state.worker, state.fence]);
	}

	decode(text) {
		const [worker, fence] = JSON.parse(text);
		return {worker, fence};
	}
}

/** A worker that follows the log and claims the job through it. */
class Worker {
	constructor(name, log, seed) {
		this.name = name;
		this.lease = new HeldLease(driftShare);
		this.follower = new LogFollower({
			log, fold: new OwnerFold(), clock, limit: 100, waitMs: 200, backoff: {minMs: 10, maxMs: 1000}, seed,
		});
		this.appender = new Appender({
			log, follower: this.follower, batchMs: 2, markerMs: 50, timeoutMs: 2000, makeId: randomUUID,
		});
		this.follower.start();
	}

	async claim() {
		const id = randomUUID();
		const base = this.follower.state.fence;
		return this.appender.submit({
			id, data: JSON.stringify({
				v: 1, id, worker: this.name, base,
			}),
		});
	}

	async stop() {
		this.appender.close();
		await this.follower.stop();
	}
}

const log = new FakeLog();
const workers = [new Worker('first', log, 1), new Worker('second', log, 2)];

// Both claim the job based on the same version; the order of the records in the log decides.
const outcomes = await Promise.all(workers.map(worker => worker.claim()));
const owner = workers.find((_, i) => outcomes[i].kind === AppendOutcomeKind.Accepted);
console.log('claims:', outcomes.map(outcome => outcome.kind).toSorted().join(', '));

// The owner asks for its lease, and the grantor renews it. Each side measures time by its own clock.
const granted = new GrantedLease({leaseMs: 1000, transitMs: 100, driftShare});
const askedAt = clock.now();
const sentAt = clock.now();
granted.recordSent(sentAt);
owner.lease.renew(askedAt, 1000);
granted.recordAccepted(sentAt, clock.now());
console.log('owner may act:', owner.lease.holds(clock.now()));
console.log('job may move:', granted.hasEnded(clock.now()));

// The job itself rejects an older fence.
const gate = new FenceGate();
console.log('new fence admitted:', gate.admit('job', owner.follower.state.fence));
console.log('old fence admitted:', gate.admit('job', 0));

await Promise.all(workers.map(worker => worker.stop()));
