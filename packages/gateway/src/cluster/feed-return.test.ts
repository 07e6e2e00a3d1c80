/**
 * A store that returns from an older copy lacks the newest records of operators and targets until these have
 * written them again. Who takes the copy for the present state drops targets in use and withdraws evacuations.
 */
import test, {type ExecutionContext} from 'ava';
import {Repeat, type TargetInfo} from '@bluebellyard/core';
import {feedTarget as target, FeedHarness, until} from '../mocks/index.js';
import type {GatewayConfig, OperatorEntry} from '../ports/index.js';

const evacuation: OperatorEntry = {kind: 'evacuation', domain: 'x'};
const noTargets = new Map<string, TargetInfo>();
const noEntries = new Map<string, OperatorEntry>();

function config(version: number, routeNames: readonly string[]): GatewayConfig {
	return {
		version,
		routes: routeNames.map(name => ({
			name, host: 'a.example', prefix: `/${name}/`, repeat: Repeat.Idempotent, timeoutMs: 1000, objectiveMs: 100, priority: 1, maxTargets: 1, services: [{service: 's', weight: 1}],
		})),
		services: [],
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
}

/** Starts a reader in era 1 on a target and on the given records of operators, and waits until they are applied. */
async function start(t: ExecutionContext, entries: ReadonlyMap<string, OperatorEntry> = noEntries): Promise<FeedHarness> {
	const harness = new FeedHarness();
	const {reader, targets, operators} = harness;
	targets.era = 1;
	operators.era = 1;
	targets.put('i', target);
	for (const [key, entry] of entries) {
		operators.put(key, entry);
	}

	reader.start();
	t.teardown(() => {
		reader.stop();
	});
	t.true(await until(() => targets.listings === 1 && operators.listings === 1));
	return harness;
}

/** Replaces the targets' records by those of a copy, and waits until they are read. */
async function returnTargets({targets}: FeedHarness, rows = noTargets): Promise<void> {
	const {listings} = targets;
	targets.returnFromCopy(rows);
	await until(() => targets.listings > listings);
}

/** Replaces the operators' records by those of a copy, and waits until they are read. */
async function returnOperators({operators}: FeedHarness, rows = noEntries): Promise<void> {
	const {listings} = operators;
	operators.returnFromCopy(rows);
	await until(() => operators.listings > listings);
}

test('a target that a copy of the store lacks has two seconds to write its entry again', async t => {
	const harness = await start(t);
	const {view, targets, clock} = harness;
	targets.put('j', {...target, id: 'j@1', name: 'j'});
	t.true(await until(() => view.targets.size === 2));
	await returnTargets(harness);
	t.is(view.targets.size, 2);
	targets.put('j', {...target, id: 'j@1', name: 'j'});
	clock.advance(2100);
	t.true(await until(() => view.targets.size === 1));
	t.true(view.targets.has('j@1'));
});

test('a new leader whose store returned in between gives targets the time to write their entries again', async t => {
	const former = await start(t);
	former.reader.stop();
	const harness = new FeedHarness(former.view);
	const {view, reader, targets, clock} = harness;
	targets.era = 2;
	reader.start();
	t.teardown(() => {
		reader.stop();
	});
	t.true(await until(() => targets.listings === 1));
	t.true(view.targets.has('i@1'));
	clock.advance(2100);
	t.true(await until(() => view.targets.size === 0));
});

test('an evacuation that a copy of the store lacks stays in force for two seconds', async t => {
	const harness = await start(t, new Map([['evacuate/x', evacuation]]));
	const {view, clock} = harness;
	t.true(view.evacuated.has('x'));
	await returnOperators(harness);
	t.true(view.evacuated.has('x'));
	clock.advance(2100);
	t.true(await until(() => view.evacuated.size === 0));
});

test('an evacuation that is written again after a return stays in force', async t => {
	const harness = await start(t, new Map([['evacuate/x', evacuation]]));
	const {view, clock, operators, targets} = harness;
	await returnOperators(harness);
	operators.put('evacuate/x', evacuation);
	clock.advance(2100);
	await returnTargets(harness, new Map([['i', target]]));
	t.is(targets.listings, 2);
	t.true(view.evacuated.has('x'));
});

test('an evacuation is withdrawn after a return as soon as the operator says so', async t => {
	const harness = await start(t, new Map([['evacuate/x', evacuation]]));
	await returnOperators(harness);
	harness.operators.remove('evacuate/x');
	t.true(await until(() => harness.view.evacuated.size === 0));
});

test('a new leader whose store returned in between keeps an evacuation that the copy lacks', async t => {
	const former = await start(t, new Map([['evacuate/x', evacuation]]));
	former.reader.stop();
	const harness = new FeedHarness(former.view);
	const {view, reader, operators, targets, clock} = harness;
	operators.era = 2;
	targets.era = 2;
	reader.start();
	t.teardown(() => {
		reader.stop();
	});
	t.true(await until(() => operators.listings === 1 && targets.listings === 1));
	t.true(view.evacuated.has('x'));
	clock.advance(2100);
	t.true(await until(() => view.evacuated.size === 0));
});

test('an evacuation that was withdrawn while nobody read the store ends without a return', async t => {
	const former = await start(t, new Map([['evacuate/x', evacuation]]));
	former.reader.stop();
	const harness = new FeedHarness(former.view);
	const {view, reader, operators, targets} = harness;
	operators.era = 1;
	targets.era = 1;
	reader.start(harness.clock.now() - 5000);
	t.teardown(() => {
		reader.stop();
	});
	t.true(await until(() => operators.listings === 1 && targets.listings === 1));
	t.is(view.evacuated.size, 0);
});

test('a configuration in force stays when a copy of the store has an older one', async t => {
	const harness = await start(t, new Map<string, OperatorEntry>([['config', {kind: 'config', config: config(5, ['a', 'new'])}]]));
	const {view, operators} = harness;
	t.is(view.configVersion, 5);
	await returnOperators(harness, new Map([['config', {kind: 'config', config: config(4, ['a', 'old'])}]]));
	t.is(view.configVersion, 5);
	t.is(view.routes.match('a.example', '/new/')?.name, 'new');
	t.is(view.routes.match('a.example', '/old/'), undefined);
	operators.put('config', {kind: 'config', config: config(5, ['a', 'new'])});
	operators.put('config', {kind: 'config', config: config(7, ['newer'])});
	t.true(await until(() => view.configVersion === 7));
	t.is(view.routes.match('a.example', '/new/'), undefined);
});

test('a configuration in force stays when a copy of the store has none', async t => {
	const harness = await start(t, new Map<string, OperatorEntry>([['config', {kind: 'config', config: config(5, ['new'])}]]));
	await returnOperators(harness);
	t.is(harness.view.configVersion, 5);
	t.is(harness.view.routes.match('a.example', '/new/')?.name, 'new');
});
