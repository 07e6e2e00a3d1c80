import {appendFileSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {setImmediate} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {call, type CallResult} from '../host/index.js';
import {AnswerCheck, checkAnswer, hashBody} from './answer-body.js';
import type {Grant} from './grants.js';
import {readJournal} from './ledger-journal.js';
import {OrderEnd, type LedgerDump, type LedgerTotals} from './ledger.js';
import {ServiceShape} from './service-time.js';
import {
	TargetKind, type TargetFaults, type TargetOptions,
} from './target-options.js';
import {Target} from './target.js';

const quick = {serviceMs: 0, serviceShape: ServiceShape.Fixed};
const endless = {serviceMs: 60_000, serviceShape: ServiceShape.Fixed};
const grant: Grant = {
	target: 'target', tenure: 2, steward: 's#1', incarnation: '', until: 1e15, full: false, shards: [['p', 7, 5]], revoke: [],
};

async function withTarget(options: TargetOptions, use: (target: Target) => Promise<void>): Promise<void> {
	const target = new Target({...quick, ...options});
	await target.start();
	try {
		await use(target);
	} finally {
		await target.stop();
	}
}

async function order(target: Target, headers: Record<string, string> = {}): Promise<CallResult> {
	return call(target.addr, '/certs/k1?n=1', {
		body: {sign: true},
		headers: {
			'x-fence': '5', 'x-pool': 'p', 'x-shard': '7', 'x-order-id': 'o1', 'idempotency-key': 'r1', ...headers,
		},
	});
}

async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		// eslint-disable-next-line no-await-in-loop -- polls
		await setImmediate();
	}
}

async function statusOf(answer: Promise<CallResult>): Promise<number> {
	const {status} = await answer;
	return status;
}

async function jsonOf(answer: Promise<CallResult>): Promise<object> {
	const {json} = await answer;
	return json<object>();
}

function isWhole(answer: CallResult, request = 'r1'): boolean {
	const received = hashBody(new TextEncoder().encode('{"sign":true}'));
	return checkAnswer(answer.text, {request, line: 'POST /certs/k1?n=1', received}) === AnswerCheck.Whole;
}

test('an order under a granted shard is answered whole', async t => {
	await withTarget({}, async target => {
		const granted = await call(target.addr, '/control/grant', {body: grant});
		t.like(granted.json(), {
			accepted: true, tenure: 2, running: 0, cold: false, shards: 1, incarnation: target.incarnation,
		});
		const answer = await order(target);
		t.is(answer.status, 200);
		t.is(answer.headers['x-order-id'], 'o1');
		t.is(answer.headers['content-length'], String(answer.text.length));
		t.true(isWhole(answer));
		t.false(isWhole(answer, 'r2'));
		t.is(checkAnswer(answer.text.slice(0, -1), {request: '', line: '', received: ''}), AnswerCheck.Truncated);
		t.like(target.dump.entries[0], {
			order: 'o1', request: 'r1', pool: 'p', shard: 7, fence: 5, end: 'ran',
		});
	});
});

type FenceCase = {
	readonly name: string;
	readonly options?: TargetOptions;
	readonly grants?: Array<Partial<Grant>>;
	readonly headers?: Record<string, string>;
	/** Time from the grants to the order, in milliseconds. */
	readonly laterMs?: number;
	readonly status: number;
};

const fenceCases: FenceCase[] = [
	{name: 'no grant', status: 409},
	{name: 'granted', grants: [{}], status: 200},
	{
		name: 'stale fence', grants: [{}], headers: {'x-fence': '4'}, status: 409,
	},
	{
		name: 'future fence', grants: [{}], headers: {'x-fence': '6'}, status: 409,
	},
	{
		name: 'no fence', grants: [{}], headers: {'x-fence': ''}, status: 409,
	},
	{
		name: 'other shard', grants: [{}], headers: {'x-shard': '8'}, status: 409,
	},
	{
		name: 'within the lease', grants: [{}], laterMs: 999, status: 200,
	},
	{
		name: 'lease expired', grants: [{}], laterMs: 1000, status: 409,
	},
	{name: 'revoked', grants: [{}, {shards: [], revoke: [['p', 7]]}], status: 409},
	{name: 'older grant that arrives late', grants: [{until: 901, shards: []}, {until: 900}], status: 409},
	{name: 'renewed', grants: [{}, {shards: null}], status: 200},
	{name: 'lower tenure refused', grants: [{shards: []}, {tenure: 1}], status: 409},
	{name: 'higher tenure keeps shards', grants: [{}, {tenure: 3, shards: []}], status: 200},
	{name: 'grant to another process life', grants: [{incarnation: 'other'}], status: 409},
	{name: 'grant that only asks for the clock', grants: [{until: 0}], status: 409},
	{name: 'clock asked after a grant', grants: [{}, {until: 0, shards: []}], status: 200},
	{name: 'full grant without the shard', grants: [{}, {full: true, shards: []}], status: 409},
	{name: 'grant to another target', grants: [{target: 'other'}], status: 409},
	{name: 'target that does not check', options: {checksFences: false}, status: 200},
	{name: 'shared target', options: {kind: TargetKind.Shared}, status: 200},
];

for (const {name, options, grants = [], headers, laterMs = 0, status} of fenceCases) {
	test(`fence: ${name}`, async t => {
		const clock = new ManualClock();
		await withTarget({...options, clock}, async target => {
			for (const [i, change] of grants.entries()) {
				// eslint-disable-next-line no-await-in-loop -- grants have an order
				await call(target.addr, '/control/grant', {body: {...grant, until: 1000 + i, ...change}});
			}

			clock.advance(laterMs);
			const answer = await order(target, headers);
			t.is(answer.status, status);
			t.is(answer.headers['x-not-run'], status === 409 ? 'fenced' : undefined);
			t.is(target.dump.totals.notRun, status === 409 ? 1 : 0);
		});
	});
}

test('a refused grant changes nothing', async t => {
	await withTarget({}, async target => {
		await call(target.addr, '/control/grant', {body: grant});
		const refused = await call(target.addr, '/control/grant', {
			body: {
				...grant, tenure: 1, shards: [], revoke: [['p', 7]],
			},
		});
		t.like(refused.json(), {accepted: false, tenure: 2, shards: 1});
	});
});

test('an order above the slots is shed and counted', async t => {
	await withTarget({...endless, slots: 1, kind: TargetKind.Shared}, async target => {
		const first = order(target);
		first.catch(() => undefined);
		await until(() => target.dump.totals.received === 1);
		const second = await order(target, {'x-order-id': 'o2'});
		t.is(second.status, 503);
		t.is(second.headers['x-not-run'], 'shed');
		t.like(target.dump.totals, {maxRunning: 1, slotViolations: 1, notRun: 1});
	});
});

test('a cold target bears one order and falls over under more', async t => {
	const cold = {coldRequests: 10, fallOverAfter: 2, fallOverMs: 1000};
	await withTarget({...endless, ...cold, kind: TargetKind.Shared}, async target => {
		const first = order(target);
		first.catch(() => undefined);
		await until(() => target.dump.totals.received === 1);
		t.is(await statusOf(order(target)), 503);
		t.is(await statusOf(order(target)), 503);
		await t.throwsAsync(first);
		t.is(await statusOf(order(target)), 503);
		t.like(target.dump.totals, {
			coldViolations: 2, falls: 1, aborted: 1, notRun: 3,
		});
	});
});

const endings: Array<{name: string; end: (target: Target, ctl: AbortController) => void; reason: string}> = [
	{
		name: 'closed connection', end(_target, ctl) {
			ctl.abort();
		}, reason: 'cancelled',
	},
	{
		name: 'restart', end(target) {
			target.restartCold();
		}, reason: 'restarted',
	},
];

for (const {name, end, reason} of endings) {
	test(`running work ends by: ${name}`, async t => {
		await withTarget({...endless, kind: TargetKind.Shared}, async target => {
			const ctl = new AbortController();
			const work = call(target.addr, '/k', {signal: ctl.signal});
			work.catch(() => undefined);
			await until(() => target.dump.totals.received === 1);
			end(target, ctl);
			await t.throwsAsync(work, {any: true});
			await until(() => target.dump.totals.aborted === 1);
			t.is(target.dump.entries[0].reason, reason);
		});
	});
}

test('work past its timeout is aborted', async t => {
	await withTarget({...endless, kind: TargetKind.Shared}, async target => {
		const answer = await order(target, {'x-timeout-ms': '5'});
		t.is(answer.status, 504);
		t.is(answer.headers['x-aborted'], 'timeout');
		t.is(target.dump.totals.aborted, 1);
	});
});

test('a restart loses the grants and changes the incarnation', async t => {
	await withTarget({}, async target => {
		await call(target.addr, '/control/grant', {body: grant});
		const before = target.incarnation;
		await target.setFaults({restartCold: true});
		t.not(target.incarnation, before);
		t.is(await statusOf(order(target)), 409);
	});
});

test('a frozen target goes on with what it has when it returns', async t => {
	await withTarget({kind: TargetKind.Shared}, async target => {
		await target.setFaults({frozen: true});
		const work = order(target);
		await until(() => target.hasHeldRequests);
		t.is(target.dump.totals.received, 0);
		await target.setFaults({frozen: false});
		t.is(await statusOf(work), 200);
	});
});

test('a frozen target finds its lease expired when it returns', async t => {
	const clock = new ManualClock();
	await withTarget({clock}, async target => {
		await call(target.addr, '/control/grant', {body: {...grant, until: 1000}});
		await target.setFaults({frozen: true});
		const work = order(target);
		await until(() => target.hasHeldRequests);
		clock.advance(1000);
		await target.setFaults({frozen: false});
		t.is(await statusOf(work), 409);
	});
});

test('a grant that waited in a frozen target gives no lease', async t => {
	const clock = new ManualClock();
	await withTarget({clock}, async target => {
		await target.setFaults({frozen: true});
		const late = call(target.addr, '/control/grant', {body: {...grant, until: 1000}});
		await until(() => target.hasHeldRequests);
		clock.advance(1000);
		await target.setFaults({frozen: false});
		t.like(await jsonOf(late), {accepted: false, shards: 0});
		t.is(await statusOf(order(target)), 409);
	});
});

async function loses(t: ExecutionContext, faults: Partial<TargetFaults>): Promise<void> {
	await withTarget({kind: TargetKind.Shared}, async target => {
		await target.setFaults(faults);
		await t.throwsAsync(order(target));
		t.is(target.dump.totals.ran, 1);
		t.true(isWhole(await order(target)));
	});
}

test('a truncated answer ends early', loses, {truncate: 1});
test('a lost answer closes the connection', loses, {loseAnswer: 1});

test('reports lag and lie', async t => {
	const clock = new ManualClock();
	await withTarget({
		...endless, clock, reportLagMs: 100_000, kind: TargetKind.Shared,
	}, async target => {
		order(target).catch(() => undefined);
		await until(() => target.dump.totals.received === 1);
		t.deepEqual(await jsonOf(call(target.addr, '/control/load')), {running: 0, slots: 4});
		await target.setFaults({lieRunning: 9, lieHealthy: false});
		t.like(await jsonOf(call(target.addr, '/control/load')), {running: 9});
		t.like(await jsonOf(call(target.addr, '/control/health')), {healthy: false});
	});
});

test('the ledger can be read in parts', async t => {
	await withTarget({kind: TargetKind.Shared}, async target => {
		await order(target);
		await order(target, {'x-order-id': 'o2'});
		const answer = await call(target.addr, '/control/ledger?from=1');
		const dump = answer.json<LedgerDump>();
		t.is(dump.target, 'target');
		t.like(dump.totals, {received: 2, ran: 2} satisfies Partial<LedgerTotals>);
		t.deepEqual(dump.entries.map(entry => entry.order), ['o2']);
	});
});

const lostWork: Array<{name: string; later: number; end: string; reason: string; ended: number}> = [
	{
		name: 'lease expired meanwhile', later: 1500, end: 'aborted', reason: 'lost-shard', ended: 1000,
	},
	{
		name: 'deadline passed meanwhile', later: 900, end: 'aborted', reason: 'timeout', ended: 800,
	},
	{
		name: 'nothing lost meanwhile', later: 700, end: 'ran', reason: '', ended: 700,
	},
];

for (const {name, later, end, reason, ended} of lostWork) {
	test(`work held by a freeze: ${name}`, async t => {
		const clock = new ManualClock();
		await withTarget({serviceMs: 1, clock}, async target => {
			await call(target.addr, '/control/grant', {body: {...grant, until: 1000}});
			const timeout = later === 1500 ? '5000' : '800';
			order(target, {'x-timeout-ms': timeout}).catch(() => undefined);
			await until(() => target.dump.totals.received === 1);
			await target.setFaults({frozen: true});
			await until(() => target.hasHeldRequests);
			clock.advance(later);
			await target.setFaults({frozen: false});
			await until(() => target.dump.entries[0].end !== OrderEnd.Running);
			t.like(target.dump.entries[0], {end, reason, ended});
		});
	});
}

test('the journal outlives the process', async t => {
	const journalFile = join(mkdtempSync(join(tmpdir(), 'ledger-')), 'journal');
	await withTarget({kind: TargetKind.Shared, journalFile}, async target => {
		await order(target);
		appendFileSync(journalFile, '{"seq":1,"half');
		t.deepEqual(readJournal(journalFile), [...target.dump.entries]);
	});
	rmSync(dirname(journalFile), {recursive: true});
});
