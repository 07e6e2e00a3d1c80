import test from 'ava';
import {
	ErrorKind, ManualClock, Repeat, TargetPhase, type HostRoute, type TargetInfo,
} from '@bluebellyard/core';
import {View, type NodeInfo} from '../view/index.js';
import {QueuePath, RequestExplainer} from './request-explainer.js';

const self: NodeInfo = {
	name: 'a-1', incarnation: '1', domain: 'a', addr: '10.0.0.1:1', cores: 1,
};
const peer: NodeInfo = {
	...self, name: 'b-1', domain: 'b', addr: '10.0.0.2:1',
};

function route(name: string, prefix: string, service: string): HostRoute {
	return {
		name, host: 'h.example', prefix, repeat: Repeat.Idempotent, timeoutMs: 1000, objectiveMs: 400, priority: 2, maxTargets: 2, services: [{service, weight: 1}],
	};
}

function target(id: string, service: string, domain: string): TargetInfo {
	return {
		id, name: id, service, addr: `10.1.0.${id.length}:80`, domain, slots: 2, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
	};
}

function createView(): View {
	const view = new View();
	view.setConfig({
		version: 4,
		routes: [route('read', '/read/', 'shared'), route('book', '/book/', 'keyed')],
		services: [
			{
				name: 'shared', isSharded: false, maxConnections: 10, coldRate: 1, healthPath: '/health',
			},
			{
				name: 'keyed', isSharded: true, maxConnections: 10, coldRate: 1, healthPath: '/health',
			},
		],
		limits: view.limits,
	});
	for (const entry of [target('s1', 'shared', 'a'), target('s22', 'shared', 'b'), target('k', 'keyed', 'b')]) {
		view.store.set(`target/${entry.id}`, entry);
	}

	view.store.set('node/a-1', self);
	view.store.set('node/b-1', peer);
	view.store.set('steward/shared:shared@a', 'a-1');
	view.store.set('steward/target:k', 'b-1');
	view.store.set('keys/keyed/0', {to: 999, owner: 'k', isOpen: true});
	view.store.set('keys/keyed/1000', {to: 65_535, owner: 'k', isOpen: false});
	return view;
}

function createExplainer(view = createView(), unreachable: readonly string[] = [], isReleased = false): RequestExplainer {
	return new RequestExplainer({
		self,
		view,
		net: {isUnreachable: addr => unreachable.includes(addr)},
		clock: new ManualClock(),
		isReleased: () => isReleased,
		queueSnapshot: () => ({waiting: 3, running: 2, expectedWaitMs: 120}),
		viewAgeMs: () => 40,
	});
}

// An explanation that differs from what the dispatcher does would send an operator to the wrong instance.
test('a keyed request goes to the steward of the owner', t => {
	const {services: [service], route: name, priority} = createExplainer().explain({host: 'h.example', path: '/book/1', key: 5});
	t.is(name, 'book');
	t.is(priority, 2);
	t.deepEqual(service.range, {
		from: 0, to: 999, owner: 'k', isOpen: true,
	});
	t.deepEqual(service.queues.map(({queue, steward, via}) => [queue, steward, via]), [['target:k', 'b-1', QueuePath.Forwarded]]);
	t.is(service.refusal, undefined);
});

test('an unreachable steward is named', t => {
	const {services: [service]} = createExplainer(createView(), [peer.addr]).explain({host: 'h.example', path: '/book/1', key: 5});
	t.is(service.queues[0].via, QueuePath.WithoutSteward);
});

test('the way around a steward that is cut off is this instance', t => {
	const view = createView();
	view.store.set('cut/b-1', true);
	const {cutOff, services: [service]} = createExplainer(view).explain({host: 'h.example', path: '/book/1', key: 5});
	t.deepEqual(cutOff, ['b-1']);
	t.is(service.queues[0].via, QueuePath.Around);
	t.deepEqual(service.queues[0].around, {cutOff: 'b-1', instances: ['a-1']});
});

test('the way around this instance is another one that is not cut off, those of the own domain first', t => {
	const view = createView();
	view.store.set('cut/a-1', true);
	const ask = () => createExplainer(view, [], true).explain({host: 'h.example', path: '/read/1'}).services[0].queues[0];
	t.deepEqual(ask().around, {cutOff: 'a-1', instances: ['b-1']});
	view.store.set('node/a-2', {...self, name: 'a-2', addr: '10.0.0.3:1'});
	t.is(ask().via, QueuePath.Around);
	t.deepEqual(ask().around, {cutOff: 'a-1', instances: ['a-2']});
	const {services: [keyed]} = createExplainer(view, [], true).explain({host: 'h.example', path: '/book/1', key: 5});
	t.is(keyed.queues[0].via, QueuePath.Forwarded);
});

test('there is no way around if all instances are cut off', t => {
	const view = createView();
	view.store.set('cut/a-1', true);
	view.store.set('cut/b-1', true);
	const {services: [shared]} = createExplainer(view).explain({host: 'h.example', path: '/read/1'});
	t.is(shared.queues[0].via, QueuePath.Own);
	const {services: [keyed]} = createExplainer(view).explain({host: 'h.example', path: '/book/1', key: 5});
	t.is(keyed.queues[0].via, QueuePath.Forwarded);
	t.is(keyed.queues[0].around, undefined);
});

test('a closed range is refused with its reason', t => {
	const {services: [service]} = createExplainer().explain({host: 'h.example', path: '/book/1', key: 2000});
	t.is(service.refusal?.error, ErrorKind.NoOwner);
	t.deepEqual(service.queues, []);
	t.is(createExplainer().explain({host: 'h.example', path: '/book/1'}).services[0].refusal?.error, ErrorKind.BadRequest);
});

test('a shared request goes to the own domain first, with the state of the own queue', t => {
	const {services: [service]} = createExplainer().explain({host: 'h.example', path: '/read/1'});
	t.deepEqual(service.queues.map(({domain, targets}) => [domain, targets]), [['a', ['s1']], ['b', ['s22']]]);
	t.deepEqual(service.queues[0].state, {waiting: 3, running: 2, expectedWaitMs: 120});
	t.is(service.queues[1].via, QueuePath.WithoutSteward);
});

test('an evacuated domain is no candidate', t => {
	const view = createView();
	view.store.set('evacuated/a', true);
	view.store.set('evacuated/b', true);
	t.is(createExplainer(view).explain({host: 'h.example', path: '/read/1'}).services[0].refusal?.error, ErrorKind.NoTarget);
});

test('no route and no configuration', t => {
	t.is(createExplainer().explain({host: 'other.example', path: '/read/1'}).refusal?.error, ErrorKind.NoRoute);
	t.is(createExplainer(new View()).explain({host: 'h.example', path: '/read/1'}).refusal?.error, ErrorKind.NotReady);
});
