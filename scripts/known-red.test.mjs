import test from 'ava';
import {describeKnownRed, findNewFailures, isPassed} from './known-red.mjs';

const passed = {title: 'packages › a › passes', isOk: true};
const failed = {title: 'packages › a › fails', isOk: false};

function getState(title, results) {
	return describeKnownRed([title], results)[0].state;
}

test('a known failure is told as failed or passed', t => {
	t.is(getState(failed.title, [passed, failed]), 'failed');
	t.is(getState(passed.title, [passed, failed]), 'passed this time');
});

test('a title that no test has is stale', t => {
	t.is(getState('packages › b › renamed', [passed, failed]), 'STALE, no test has this title');
});

test('a test that a failure kept from running is not stale', t => {
	t.is(getState('packages › a › behind a failed hook', [failed]), 'not seen this time');
	const earlyEnd = {title: 'packages/b/dist/b.test.js exited due to SIGKILL', isOk: false};
	t.is(getState('packages › b › not reached', [passed, earlyEnd]), 'not seen this time');
});

test('an error outside of a test is not stale', t => {
	t.is(getState('Error: EBADF: bad file descriptor, close', [passed]), 'not seen this time');
});

test('only failures with exactly a known title are passed over', t => {
	t.deepEqual(findNewFailures([failed.title], [passed, failed]), []);
	t.deepEqual(findNewFailures(['packages › a › fail'], [passed, failed]), [failed.title]);
	t.true(isPassed([failed.title], [passed, failed], 1));
	t.false(isPassed(['packages › a › fail'], [passed, failed], 1));
});

test('a run without a passed test, or that ends with an error of its own, fails', t => {
	t.true(isPassed([], [passed], 0));
	t.false(isPassed([], [], 0));
	t.false(isPassed([failed.title], [failed], 1));
	t.false(isPassed([], [passed], 1));
});
