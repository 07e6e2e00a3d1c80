import {Buffer} from 'node:buffer';
import test from 'ava';
import {Packr} from 'msgpackr';
import {RunMode} from '@bluebellyard/core';
import type {Order} from './order.js';
import {decodeOrder, encodeOrder} from './wire-order.js';

const order: Order = {
	requestId: 'id',
	method: 'GET',
	path: '/a',
	headers: [['Host', 'h'], ['X-Own', 'b']],
	body: Buffer.alloc(0),
	route: 'r',
	service: 's',
	key: undefined,
	priority: 1,
	team: undefined,
	isOnce: false,
	objectiveMs: 500,
	arrivedAt: 90,
	objectiveAt: 590,
	deadline: 2090,
	excluded: [],
	skipsRateLimited: false,
	mode: RunMode.Usual,
};

const local = {now: 100, skipsRateLimited: false};

// A target of a forwarded or repeated request would not be told the team.
test('an order has its team at the other instance', t => {
	const wire = encodeOrder({...order, team: 'huka270'}, 'desk', 100);
	t.is(wire.tm, 'huka270');
	t.is(decodeOrder(wire, order.body, local).team, 'huka270');
	t.is(decodeOrder(encodeOrder(order, 'desk', 100), order.body, local).team, undefined);
});

// Instances of an earlier version would get other bytes although no team is configured.
test('an order without a team has the bytes that it had before there were teams', t => {
	const packr = new Packr({useRecords: false, moreTypes: false});
	const before = {
		desk: 'desk', id: 'id', m: 'GET', p: '/a', h: order.headers, rt: 'r', s: 's', k: undefined, pr: 1, once: false, obj: 500, age: 10, late: 490, left: 1990, x: [], rm: RunMode.Usual,
	};
	t.deepEqual(packr.pack(encodeOrder(order, 'desk', 100)), packr.pack(before));
});
