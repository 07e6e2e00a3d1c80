import test from 'ava';
import fc from 'fast-check';
import {BeginResultKind, RequestIdTable} from './request-id-table.js';

const cfg = {windowMs: 100, maxEntries: 3, maxAnswerBytes: 10};
const req = {id: '1', shard: 's', fingerprint: 'f'};

function table(): RequestIdTable<string> {
	return new RequestIdTable<string>(cfg);
}

const cases: Array<[string, (ids: RequestIdTable<string>) => void, BeginResultKind]> = [
	['never seen', () => undefined, BeginResultKind.Fresh],
	['running', ids => {
		ids.begin(req, 0);
	}, BeginResultKind.Running],
	['done', ids => {
		ids.begin(req, 0);
		ids.finish('1', 'ok', 2, 0);
	}, BeginResultKind.Done],
	['unknown', ids => {
		ids.begin(req, 0);
		ids.finishUnknown('1', 0);
	}, BeginResultKind.Unknown],
	['released', ids => {
		ids.begin(req, 0);
		ids.release('1');
	}, BeginResultKind.Fresh],
	['done is not released', ids => {
		ids.begin(req, 0);
		ids.finish('1', 'ok', 2, 0);
		ids.release('1');
	}, BeginResultKind.Done],
	['other content', ids => {
		ids.begin({...req, fingerprint: 'g'}, 0);
	}, BeginResultKind.Reused],
	['other shard', ids => {
		ids.begin({...req, shard: 't'}, 0);
	}, BeginResultKind.Reused],
	['quarantined', ids => {
		ids.quarantine('s', 100);
	}, BeginResultKind.Unknown],
	['quarantine passed', ids => {
		ids.quarantine('s', 1);
	}, BeginResultKind.Fresh],
	['other shard quarantined', ids => {
		ids.quarantine('t', 100);
	}, BeginResultKind.Fresh],
	['quarantine cleared', ids => {
		ids.quarantine('s', 100);
		ids.clearQuarantine('s');
	}, BeginResultKind.Fresh],
	['full', ids => {
		for (const id of 'abc') {
			ids.begin({...req, id}, 0);
		}
	}, BeginResultKind.Full],
	['window passed', ids => {
		ids.begin(req, -200);
		ids.finish('1', 'ok', 2, -100);
	}, BeginResultKind.Fresh],
	['running past the window', ids => {
		ids.begin(req, -200);
	}, BeginResultKind.Running],
	['dropped shard', ids => {
		ids.begin(req, 0);
		ids.dropShard('s');
	}, BeginResultKind.Fresh],
];

for (const [name, prepare, kind] of cases) {
	test(`begin: ${name}`, t => {
		const ids = table();
		prepare(ids);
		t.is(ids.begin(req, 1).kind, kind);
	});
}

test('keeps small answers only', t => {
	const ids = table();
	for (const [id, bytes] of [['1', 10], ['2', 11]] as const) {
		ids.begin({...req, id}, 0);
		ids.finish(id, 'ok', bytes, 0);
	}

	t.deepEqual(ids.begin(req, 1), {kind: BeginResultKind.Done, answer: 'ok'});
	t.deepEqual(ids.begin({...req, id: '2'}, 1), {kind: BeginResultKind.Done, answer: undefined});
});

test('handover: what ran is known, what was running may have run', t => {
	const from = table();
	from.begin(req, 0);
	from.finish('1', 'ok', 2, 40);
	from.begin({...req, id: '2'}, 50);
	from.begin({...req, id: '3', shard: 't'}, 50);
	const to = table();
	to.importRecords(from.exportShard('s', 60), 1000);
	t.is(to.size, 2);
	t.deepEqual(to.begin(req, 1000), {kind: BeginResultKind.Done, answer: 'ok'});
	t.is(to.begin({...req, id: '2'}, 1000).kind, BeginResultKind.Unknown);
	t.is(to.begin(req, 1080).kind, BeginResultKind.Fresh, 'the window counts from the end');
});

test('an id runs at most once within the window, through handovers', t => {
	const step = fc.record({
		id: fc.constantFrom('1', '2', '3', '4', '5'),
		act: fc.constantFrom('begin', 'begin', 'finish', 'unknown', 'move', 'moveBlind'),
		elapsed: fc.nat(5),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 20}), steps => {
		let ids = new RequestIdTable<string>({...cfg, windowMs: 1000});
		let now = 0;
		const runs = new Map<string, number>();
		for (const {id, act, elapsed} of steps) {
			now += elapsed;
			switch (act) {
				case 'begin': {
					const fresh = ids.begin({...req, id}, now).kind === BeginResultKind.Fresh;
					runs.set(id, (runs.get(id) ?? 0) + Number(fresh));
					break;
				}

				case 'finish': {
					ids.finish(id, 'ok', 2, now);
					break;
				}

				case 'unknown': {
					ids.finishUnknown(id, now);
					break;
				}

				case 'move':
				case 'moveBlind': {
					const records = act === 'move' ? ids.exportShard('s', now) : [];
					ids = new RequestIdTable<string>({...cfg, windowMs: 1000});
					ids.importRecords(records, now);
					ids.quarantine('s', now + 1000);
					break;
				}
			}

			t.true([...runs.values()].every(count => count <= 1));
		}
	}), {seed: 5, numRuns: 300});
});
