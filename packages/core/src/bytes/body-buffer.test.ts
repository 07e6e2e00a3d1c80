import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {BodyBuffer} from './body-buffer.js';

// Guards against a process that ends at its heap limit as it keeps an object for each of millions of small chunks.
test('a body in chunks of one byte takes few objects', t => {
	const body = new BodyBuffer();
	const chunk = Buffer.from('.');
	for (let i = 0; i < 1_000_000; i += 1) {
		body.append(chunk);
	}

	t.is(body.length, 1_000_000);
	t.true(body.blockCount < 100, `${body.blockCount}`);
	t.true(body.toBytes().equals(Buffer.alloc(1_000_000, '.')));
});

test('small chunks between large ones do not take a block each', t => {
	const body = new BodyBuffer();
	for (let i = 0; i < 1000; i += 1) {
		body.append(Buffer.alloc(1));
		body.append(Buffer.alloc(2048));
	}

	t.true(body.blockCount < 300, `${body.blockCount}`);
	t.is(body.toBytes().length, 2_049_000);
});

test('a single chunk is kept without a copy', t => {
	const chunk = Buffer.from('abc');
	const body = new BodyBuffer();
	body.append(chunk);
	t.is(body.toBytes(), chunk);
	t.is(new BodyBuffer().toBytes().length, 0);
});

test('the body is the sequence of its chunks', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 20_000}), {maxLength: 20}), sizes => {
			const body = new BodyBuffer();
			const chunks = sizes.map((size, i) => Buffer.alloc(size, i + 1));
			for (const chunk of chunks) {
				body.append(chunk);
			}

			return body.toBytes().equals(Buffer.concat(chunks)) && body.length === Buffer.concat(chunks).length;
		}), {seed: 44, numRuns: 200});
	});
});

// The sender states the length, and may state a wrong one.
test('the body is the sequence of its chunks, whatever length was stated', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 20_000}), {maxLength: 10}), fc.integer({min: 0, max: 100_000}), (sizes, length) => {
			const body = new BodyBuffer();
			body.expect(length);
			const chunks = sizes.map((size, i) => Buffer.alloc(size, i + 1));
			for (const chunk of chunks) {
				body.append(chunk);
			}

			return body.toBytes().equals(Buffer.concat(chunks)) && body.length === Buffer.concat(chunks).length;
		}), {seed: 53, numRuns: 300});
	});
});

test('a body of the stated length takes one block', t => {
	const body = new BodyBuffer();
	body.expect(100_000);
	for (let i = 0; i < 10; i += 1) {
		body.append(Buffer.alloc(10_000, i));
	}

	t.is(body.blockCount, 1);
	t.is(body.toBytes().length, 100_000);
});
