import test from 'ava';
import {RunLedger} from './run-ledger.js';

test('a target that is gone leaves what it ran and what was lost there as suspects, each once', t => {
	const ledger = new RunLedger<string>();
	ledger.recordStart('a', 'answered', 0);
	ledger.recordStart('a', 'lost', 0);
	ledger.recordStart('a', 'running', 0);
	ledger.recordAnswer('a', 'answered');
	ledger.recordLoss('a', 'lost', 10);
	t.deepEqual(ledger.takeSuspects('a', 20), ['lost', 'running']);
	ledger.recordLoss('a', 'running', 21);
	t.deepEqual(ledger.takeSuspects('a', 22), []);
});

test('an answer to a later request proves that the target outlived a lost run', t => {
	const ledger = new RunLedger<string>();
	ledger.recordStart('a', 'lost', 0);
	ledger.recordStart('a', 'earlier', 5);
	ledger.recordLoss('a', 'lost', 10);
	ledger.recordAnswer('a', 'earlier');
	t.true(ledger.hasLost('a'));
	ledger.recordStart('a', 'later', 11);
	ledger.recordAnswer('a', 'later');
	t.false(ledger.hasLost('a'));
	t.deepEqual(ledger.takeSuspects('a', 20), []);
});

test('a target that answers was not gone', t => {
	const ledger = new RunLedger<string>();
	ledger.recordStart('a', 'lost', 0);
	ledger.recordStart('a', 'running', 0);
	ledger.recordLoss('a', 'lost', 10);
	ledger.takeSuspects('a', 20);
	t.true(ledger.isGone('a'));
	t.true(ledger.recordAnswer('a', 'running'));
	t.false(ledger.isGone('a'));
});

test('runs that were lost long before a target is gone are no suspects', t => {
	const ledger = new RunLedger<string>();
	ledger.recordStart('a', 'lost', 0);
	ledger.recordLoss('a', 'lost', 10);
	t.deepEqual(ledger.takeSuspects('a', 10_011), []);
});

test('removed targets are forgotten, those with lost runs are named first', t => {
	const ledger = new RunLedger<string>();
	ledger.recordStart('a', 'lost', 0);
	ledger.recordLoss('a', 'lost', 10);
	ledger.recordStart('b', 'answered', 0);
	ledger.recordAnswer('b', 'answered');
	t.deepEqual(ledger.prune(() => false), ['a']);
	t.deepEqual(ledger.takeSuspects('a', 20), ['lost']);
	t.deepEqual(ledger.prune(() => false), []);
});
