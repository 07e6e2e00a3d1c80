import {
	call, OrderEnd, ServiceShape, type CallResult,
} from '@bluebellyard/standins';
import test from 'ava';
import {startInstanceProcess} from './mocks/instance-process.js';
import {TestCluster, waitUntil, waitUntilServed} from './mocks/test-cluster.js';

const slots = 4;
const warmupRounds = 40;
const rules = `pool p keyed shards=8 slots=${slots} fenced=yes timeout=30s # Selam\nroute GET /k/{key} p # Selam\nroute POST /k/{key}/close p once # Selam\n`;

/**
 * Starts a target, an instance of the same failure domain in a process of its own, which becomes the target's steward,
 * and an instance of another domain in this process.
 */
async function startPair(t: Parameters<typeof startInstanceProcess>[0]) {
	const cluster = await new TestCluster(t).start();
	const target = await cluster.startTarget('t', 'a', {slots, serviceMs: 1, serviceShape: ServiceShape.Fixed});
	const leaving = await startInstanceProcess(t, cluster.settingsText('i1', 'a'));
	const staying = await cluster.startInstance('i2', 'b');
	await cluster.publishRules(rules);
	await waitUntilServed(leaving.addr, '/k/1');
	await waitUntilServed(staying.addr, '/k/1');
	const {tables} = staying.instance.host.member;
	const getSteward = () => tables.targets.get('t')!.steward;
	await waitUntil(() => getSteward().startsWith('i1#'), () => `the steward is ${getSteward()}`);
	for (let i = 0; i < warmupRounds; i += 1) {
		// The concurrency limit rises only after all slots of the target have been in use.
		// eslint-disable-next-line no-await-in-loop
		await Promise.all(Array.from({length: slots}, async () => call(leaving.addr, `/k/${i}`)));
	}

	const running = () => target.dump.entries.filter(({end}) => end === OrderEnd.Running).length;
	return {
		target, leaving, staying, getSteward, running,
	};
}

/** Sends a request that must not be repeated when it may have run. */
async function closeTicket(addr: string, id: string): Promise<CallResult> {
	return call(addr, `/k/${id}/close`, {method: 'POST', headers: {'idempotency-key': id}});
}

test.serial('a planned stop lets running requests finish and hands the target over', async t => {
	const {target, leaving, staying, getSteward, running} = await startPair(t);
	await target.setFaults({slowFactor: 200});
	const inFlight = Array.from({length: slots}, async (_, i) => closeTicket(leaving.addr, `running-${i}`));
	await waitUntil(() => running() === slots, () => `${running()} run`);
	const waiting = [leaving.addr, staying.addr].flatMap(addr =>
		Array.from({length: slots}, async (_, i) => closeTicket(addr, `waiting-${addr}-${i}`)));
	leaving.child.kill('SIGTERM');
	const answers = await Promise.all(inFlight);
	t.deepEqual(answers.map(({status}) => status), Array.from({length: slots}, () => 200));
	t.deepEqual(answers.map(({headers}) => headers.connection), Array.from({length: slots}, () => 'close'));
	const settled = await Promise.allSettled(waiting);
	const outcomes = settled.map(result => result.status === 'rejected' ? 'refused connection' : result.value.headers['x-outcome'] ?? result.value.status);
	t.deepEqual(outcomes.filter(outcome => outcome !== 200 && outcome !== 'not-run' && outcome !== 'refused connection'), []);
	const sent = target.dump.entries.filter(({request}) => request.startsWith('waiting'));
	t.is(sent.length, outcomes.filter(outcome => outcome === 200).length);
	t.is(await leaving.exited, 0);
	t.is(getSteward(), staying.instance.host.member.id);
	await waitUntilServed(staying.addr, '/k/1');
});

// A second signal ended the process at once, and callers lost the requests that it had passed on.
test.serial('a second signal does not cut running requests', async t => {
	const {target, leaving, running} = await startPair(t);
	await target.setFaults({slowFactor: 2000});
	const answered = call(leaving.addr, '/k/1');
	await waitUntil(() => running() === 1, () => `${running()} run`);
	leaving.child.kill('SIGTERM');
	await waitUntil(async () => {
		// The process refuses new connections after the first signal.
		const answer = await call(leaving.addr, '/none').catch(() => undefined);
		return answer === undefined;
	}, () => 'new connections are refused');
	t.is(running(), 1);
	leaving.child.kill('SIGTERM');
	const {status} = await answered;
	t.is(status, 200);
	t.is(await leaving.exited, 0);
});
