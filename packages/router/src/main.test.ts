import {
	call, OrderEnd, ServiceShape, type CallResult,
} from '@bluebellyard/standins';
import test from 'ava';
import {startInstanceProcess} from './mocks/instance-process.js';
import {TestCluster, waitUntil, waitUntilServed} from './mocks/test-cluster.js';

const slots = 4;
const warmRounds = 40;
const rules = `pool p keyed shards=8 slots=${slots} fenced=yes timeout=30s # Selam\nroute GET /k/{key} p # Selam\nroute POST /k/{key}/close p once # Selam\n`;

/** An instance as a process, the steward of a target in its failure domain, and one of another domain in this process. */
async function startPair(t: Parameters<typeof startInstanceProcess>[0]) {
	const cluster = await new TestCluster(t).start();
	const target = await cluster.startTarget('t', 'a', {slots, serviceMs: 1, serviceShape: ServiceShape.Fixed});
	const leaving = await startInstanceProcess(t, cluster.settingsText('i1', 'a'));
	const staying = await cluster.startInstance('i2', 'b');
	await cluster.publishRules(rules);
	await waitUntilServed(leaving.addr, '/k/1');
	await waitUntilServed(staying.addr, '/k/1');
	const {tables} = staying.instance.host.member;
	const stewardOf = () => tables.targets.get('t')!.steward;
	await waitUntil(() => stewardOf().startsWith('i1#'), () => `the steward is ${stewardOf()}`);
	for (let i = 0; i < warmRounds; i += 1) {
		// The target gets more at a time when all its slots were used.
		// eslint-disable-next-line no-await-in-loop
		await Promise.all(Array.from({length: slots}, async () => call(leaving.addr, `/k/${i}`)));
	}

	const running = () => target.dump.entries.filter(({end}) => end === OrderEnd.Running).length;
	return {
		target, leaving, staying, stewardOf, running,
	};
}

/** Sends work that is never repeated when it may have run. */
async function closeTicket(addr: string, id: string): Promise<CallResult> {
	return call(addr, `/k/${id}/close`, {method: 'POST', headers: {'idempotency-key': id}});
}

test.serial('a planned stop cuts no request and hands the target over', async t => {
	const {target, leaving, staying, stewardOf, running} = await startPair(t);
	await target.setFaults({slowFactor: 200});
	const inFlight = Array.from({length: slots}, async (_, i) => closeTicket(leaving.addr, `running-${i}`));
	await waitUntil(() => running() === slots, () => `${running()} run`);
	const waiting = [leaving.addr, staying.addr].flatMap(addr =>
		Array.from({length: slots}, async (_, i) => closeTicket(addr, `waiting-${addr}-${i}`)));
	leaving.child.kill('SIGTERM');
	const answers = await Promise.all(inFlight);
	t.deepEqual(answers.map(({status}) => status), Array.from({length: slots}, () => 200));
	t.deepEqual(answers.map(({headers}) => headers.connection), Array.from({length: slots}, () => 'close'));
	const others = await Promise.allSettled(waiting);
	const ends = others.map(other => other.status === 'rejected' ? 'refused connection' : other.value.headers['x-outcome'] ?? other.value.status);
	t.deepEqual(ends.filter(end => end !== 200 && end !== 'not-run' && end !== 'refused connection'), []);
	const sent = target.dump.entries.filter(({request}) => request.startsWith('waiting'));
	t.is(sent.length, ends.filter(end => end === 200).length);
	t.is(await leaving.exited, 0);
	t.is(stewardOf(), staying.instance.host.member.id);
	await waitUntilServed(staying.addr, '/k/1');
});

test.serial('a second signal ends the process at once', async t => {
	const {target, leaving, running} = await startPair(t);
	await target.setFaults({slowFactor: 60_000});
	const lost = t.throwsAsync(call(leaving.addr, '/k/1'));
	await waitUntil(() => running() === 1, () => `${running()} run`);
	leaving.child.kill('SIGTERM');
	await waitUntil(async () => {
		// It takes no new connection once it heard the first signal.
		const answer = await call(leaving.addr, '/none').catch(() => undefined);
		return answer === undefined;
	}, () => 'new connections are refused');
	leaving.child.kill('SIGTERM');
	t.is(await leaving.exited, 1);
	await lost;
});
