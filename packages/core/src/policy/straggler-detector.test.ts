import test from 'ava';
import {StragglerDetector} from './straggler-detector.js';

const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j'];

function pool(slow: string[], frozen: string[] = []): StragglerDetector {
	const detector = new StragglerDetector();
	let id = 0;
	for (const name of names) {
		detector.add(name);
		for (let i = 0; i < 4; i += 1) {
			detector.recordStart(name, String(id), 0);
			if (!frozen.includes(name)) {
				detector.recordAnswer(name, String(id), slow.includes(name) ? 100 : 10);
			}

			id += 1;
		}
	}

	detector.tick(100);
	return detector;
}

const cases: Array<[string, string[], string[], number]> = [
	['none slow', [], [], 0],
	['one slow', ['b'], [], 1],
	['three slow', ['b', 'c', 'd'], [], 3],
	['the cap holds', ['b', 'c', 'd', 'e', 'f'], [], 3],
	['a slow pool has no stragglers', names, [], 0],
	['frozen before any answer', [], ['b'], 1],
];

for (const [name, slow, frozen, count] of cases) {
	test(`sets aside: ${name}`, t => {
		const detector = pool(slow, frozen);
		t.is(detector.setAside().length, count);
		t.true(detector.setAside().every(target => slow.includes(target) || frozen.includes(target)));
	});
}

test('one late request among many is no evidence', t => {
	const detector = pool([]);
	detector.recordStart('a', 'late', 100);
	detector.tick(150);
	t.false(detector.isSetAside('a'));
	detector.tick(200);
	t.true(detector.isSetAside('a'));
});

test('probes come one at a time, and quick answers bring the target back', t => {
	const detector = pool(['b']);
	t.is(detector.claimProbe(499), undefined);
	t.is(detector.claimProbe(500), 'b');
	t.is(detector.claimProbe(500), undefined);
	detector.recordStart('b', 'p1', 500);
	t.is(detector.claimProbe(1000), undefined);
	detector.recordAnswer('b', 'p1', 600);
	detector.tick(600);
	for (const [id, at, still] of [['p2', 1000, true], ['p3', 1500, false]] as const) {
		detector.recordStart('b', id, at);
		detector.recordAnswer('b', id, at + 10);
		detector.tick(at + 10);
		t.is(detector.isSetAside('b'), still);
	}
});

test('the steward sets aside and brings back', t => {
	const detector = pool([]);
	for (const [serviceMs, aside] of [[10, []], [100, ['b']], [25, ['b']], [15, []], [100, ['b']], [0, []]] as const) {
		for (const name of names) {
			detector.recordServiceTime(name, name === 'b' ? serviceMs : 10);
		}

		detector.tick(200);
		t.deepEqual(detector.setAside(), [...aside]);
	}
});

test('a request that was outrun is evidence however early', t => {
	const detector = pool([]);
	for (let i = 0; i < 8; i += 1) {
		detector.recordStart('a', `a${i}`, 100);
		detector.recordOvertaken('a', `a${i}`, 110);
	}

	detector.tick(110);
	t.deepEqual(detector.setAside(), ['a']);
});

test('a late cancelled request is evidence, an early one is none', t => {
	const detector = pool([]);
	for (let i = 0; i < 8; i += 1) {
		detector.recordStart('a', `a${i}`, 100);
		detector.recordCancelled('a', `a${i}`, 150);
		detector.recordStart('b', `b${i}`, 100);
		detector.recordCancelled('b', `b${i}`, 101);
	}

	detector.tick(150);
	t.deepEqual(detector.setAside(), ['a']);
});
