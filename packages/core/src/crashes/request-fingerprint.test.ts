import {Buffer} from 'node:buffer';
import test from 'ava';
import {bodyLengthOf, fingerprint, type RequestIdentity} from './request-fingerprint.js';

const request: RequestIdentity = {
	method: 'POST', host: 'a.example', path: '/x?y=1', key: 5, body: Buffer.from('body'),
};

test('the fingerprint is the same for the same request only', t => {
	const others: Array<Partial<RequestIdentity>> = [
		{method: 'PUT'}, {host: 'b.example'}, {path: '/x'}, {key: 6}, {key: undefined}, {body: Buffer.from('bodz')}, {body: Buffer.alloc(0)},
	];
	const prints = new Set(others.map(change => fingerprint({...request, ...change})));
	t.is(prints.size, others.length);
	t.false(prints.has(fingerprint(request)));
	t.is(fingerprint({...request, host: 'A.example', body: Buffer.from('body')}), fingerprint(request));
});

test('the fingerprint states the length of the body', t => {
	t.is(bodyLengthOf(fingerprint(request)), 4);
});
