import test from 'ava';
import {Repeat} from '../rules/index.js';
import {HostRoutes} from './host-routes.js';
import type {HostRoute} from './model.js';
import {WeightedRoundRobin} from './weighted-round-robin.js';

function route(name: string, host: string, prefix: string): HostRoute {
	return {
		name, host, prefix, repeat: Repeat.Idempotent, timeoutMs: 1000, objectiveMs: 100, priority: 1, maxTargets: 1, services: [{service: 's', weight: 1}],
	};
}

const routes = new HostRoutes([route('short', 'a.example', '/x/'), route('long', 'a.example', '/x/y/'), route('other', 'b.example', '/x/')]);

test('the longest prefix of the host wins', t => {
	t.is(routes.match('a.example', '/x/y/z')?.name, 'long');
	t.is(routes.match('a.example', '/x/yy')?.name, 'short');
	t.is(routes.match('b.example', '/x/y/z')?.name, 'other');
});

test('port, case and query do not matter', t => {
	t.is(routes.match('A.Example:8080', '/x/?a=/x/y/')?.name, 'short');
});

test('no prefix, no route', t => {
	t.is(routes.match('a.example', '/x'), undefined);
	t.is(routes.match('c.example', '/x/'), undefined);
});

test('a split keeps its weights over any span', t => {
	const split = new WeightedRoundRobin();
	const services = [{service: 'a', weight: 90}, {service: 'b', weight: 10}];
	const drawn = Array.from({length: 1000}, () => split.next(services));
	for (let start = 0; start + 100 <= drawn.length; start += 37) {
		const share = drawn.slice(start, start + 100).filter(name => name === 'b').length;
		t.true(share >= 9 && share <= 11, `${share}`);
	}
});

test('a part without weight gets nothing', t => {
	const split = new WeightedRoundRobin();
	const services = [{service: 'a', weight: 0}, {service: 'b', weight: 3}];
	t.true(Array.from({length: 20}, () => split.next(services)).every(name => name === 'b'));
});
