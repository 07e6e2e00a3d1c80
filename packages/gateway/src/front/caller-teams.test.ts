/**
 * Keys and teams of callers at the instance that receives their requests.
 */
import type {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Agent, request, type IncomingMessage} from 'node:http';
import {connect, type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import test, {type ExecutionContext} from 'ava';
import {
	digestKey, ErrorKind, ManualClock, systemClock, TeamKeys,
} from '@bluebellyard/core';
import {failure, type Order, type OrderResult} from '../dispatch/index.js';
import {CountedLimits, createConfig, PlainWire} from '../mocks/index.js';
import type {GatewayConfig} from '../ports/index.js';
import {TeamAdmission} from '../teams/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View} from '../view/index.js';
import {CallerServer} from './caller-server.js';

const teams = {
	teams: [{name: 'urgent', priority: 0, burst: 0}, {name: 'limited', ratePerSecond: 10, burst: 0}],
	teamKeys: TeamKeys.of([[digestKey('k1'), 'urgent'], [digestKey('k2'), 'limited']]),
};

/** A caller server whose dispatcher records the orders. */
class Harness {
	readonly view = new View();
	readonly orders: Order[] = [];
	readonly limits = new CountedLimits(1);
	readonly agent = new Agent({keepAlive: true, maxSockets: 1});
	result: OrderResult = failure(ErrorKind.NoTarget, {});
	port = 0;
	private readonly server: CallerServer;

	constructor() {
		const telemetry = new Telemetry(new ManualClock());
		this.server = new CallerServer({
			view: this.view,
			wire: new PlainWire(),
			dispatcher: {
				run: async order => {
					this.orders.push(order);
					return this.result;
				},
			},
			admission: new TeamAdmission({view: this.view, metrics: telemetry.metrics, limits: this.limits}),
			clock: systemClock,
			telemetry,
			onKeyedRequest() {
				// The service is not sharded.
			},
		});
	}

	async start(t: ExecutionContext, config?: GatewayConfig): Promise<void> {
		if (config !== undefined) {
			this.view.setConfig(config);
		}

		this.port = await this.server.start('127.0.0.1', 0);
		t.teardown(() => {
			this.server.close();
			this.agent.destroy();
		});
	}

	/** Sends a request; resolves to status, kind of error, headers and port of the caller. */
	async call(path: string, headers: Record<string, string | string[]> = {}, host = 'a.example') {
		const req = request({
			port: this.port, path, agent: this.agent, headers: {host, id: 'i', ...headers},
		}).end();
		const [socket] = await once(req, 'socket') as [Socket];
		const [res] = await once(req, 'response') as [IncomingMessage];
		const body = JSON.parse(await text(res)) as {error: string};
		return {
			status: res.statusCode, error: body.error, headers: res.headers, from: socket.localPort,
		};
	}
}

async function start(t: ExecutionContext, config?: GatewayConfig): Promise<Harness> {
	const harness = new Harness();
	await harness.start(t, config);
	return harness;
}

// An unknown key would be an error of the caller before the instance knows any key, or hide that there is no route.
test('without a configuration 503, without a route 404, without a key 401', async t => {
	const harness = await start(t);
	t.like(await harness.call('/'), {status: 503, error: ErrorKind.NotReady});
	harness.view.setConfig(createConfig(1, teams));
	t.like(await harness.call('/', {}, 'b.example'), {status: 404, error: ErrorKind.NoRoute});
	const answer = await harness.call('/');
	t.like(answer, {status: 401, error: ErrorKind.UnknownKey});
	t.is(answer.headers.challenge, 'key');
	t.like(await harness.call('/', {key: 'none'}), {status: 401, error: ErrorKind.UnknownKey});
	t.deepEqual(harness.orders, []);
});

// Orders would be sorted by the route alone, or go out with a secret.
test('an order has the team of the key, its priority, and no credentials', async t => {
	const harness = await start(t, createConfig(1, teams));
	await harness.call('/', {key: 'k1', team: ['forged', 'forged2'], other: 'x'});
	await harness.call('/public/', {key: 'none'});
	await harness.call('/', {key: 'k2'});
	t.deepEqual(harness.orders.map(({team, priority}) => [team, priority]), [['urgent', 0], [undefined, 1], ['limited', 1]]);
	t.deepEqual(harness.orders.map(({headers}) => headers.map(([name]) => name.toLowerCase()).filter(name => name === 'key' || name === 'team')), [[], [], []]);
	t.deepEqual(harness.orders[0].headers.find(([name]) => name === 'other'), ['other', 'x']);
});

// A deployment without teams would lose headers that it uses itself.
test('without teams an order has all headers of the caller and the priority of its route', async t => {
	const harness = await start(t, createConfig(1));
	await harness.call('/', {key: 'k1', team: 'own'});
	t.like(harness.orders[0], {team: undefined, priority: 1});
	t.deepEqual(harness.orders[0].headers.filter(([name]) => name === 'key' || name === 'team'), [['key', 'k1'], ['team', 'own']]);
});

// A revoked key would be accepted for as long as its caller keeps the connection.
test('a revoked key gets 401 on an open connection', async t => {
	const harness = await start(t, createConfig(1, teams));
	const first = await harness.call('/', {key: 'k1'});
	t.is(first.error, ErrorKind.NoTarget);
	harness.view.setConfig(createConfig(2, {...teams, teamKeys: TeamKeys.of([[digestKey('k2'), 'limited']])}));
	t.like(await harness.call('/', {key: 'k1'}), {status: 401, from: first.from});
	harness.view.setConfig(createConfig(3, teams));
	t.like(await harness.call('/', {key: 'k1'}), {error: ErrorKind.NoTarget, from: first.from});
});

// Refusals for another reason would use up the limit of a team.
test('a refused request returns its permit, one that ran does not', async t => {
	const harness = await start(t, createConfig(1, teams));
	t.like(await harness.call('/', {key: 'k2'}), {error: ErrorKind.NoTarget});
	t.like(await harness.call('/', {key: 'k2', 'content-length': '0'}), {error: ErrorKind.NoTarget});
	harness.result = failure(ErrorKind.ConnectionLost, {isNotRun: false});
	t.like(await harness.call('/', {key: 'k2'}), {error: ErrorKind.ConnectionLost});
	const rejected = await harness.call('/', {key: 'k2'});
	t.like(rejected, {status: 429, error: ErrorKind.TeamLimit});
	t.is(rejected.headers['retry-after'], '0.34');
	t.is(harness.orders.length, 3);
});

// The permit of a request whose body never came would be lost.
test('a request whose body is too large returns its permit', async t => {
	const harness = await start(t, createConfig(1, teams));
	const socket = connect(harness.port, '127.0.0.1');
	socket.write(`POST / HTTP/1.1\r\nHost: a.example\r\nid: i\r\nkey: k2\r\nContent-Length: 1001\r\n\r\n${'x'.repeat(1001)}`);
	const [answer] = await once(socket, 'data') as [Buffer];
	t.regex(answer.toString(), /^HTTP\/1.1 413 /v);
	t.is(harness.limits.left, 1);
	socket.destroy();
});

// Callers without a key, or over their limit, would occupy memory with bodies.
test('a rejection does not wait for the body', async t => {
	const harness = await start(t, createConfig(1, teams));
	harness.limits.left = 0;
	for (const [key, status] of [['none', 401], ['k2', 429]] as const) {
		const socket = connect(harness.port, '127.0.0.1');
		socket.write(`POST / HTTP/1.1\r\nHost: a.example\r\nid: i\r\nkey: ${key}\r\nContent-Length: 900\r\n\r\n`);
		// eslint-disable-next-line no-await-in-loop
		const [answer] = await once(socket, 'data') as [Buffer];
		t.true(answer.toString().startsWith(`HTTP/1.1 ${status} `));
		socket.destroy();
	}
});
