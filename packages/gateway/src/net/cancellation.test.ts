import test from 'ava';
import {Cancellation} from './cancellation.js';

/*
Guards against a request that goes on after its caller left, or whose clean-up runs although it had ended: a listener must
be called exactly once, unless it was removed, also by a listener that ran before.
*/
test('listeners are called once, unless they were removed', t => {
	const cancellation = new Cancellation();
	const calls: string[] = [];
	const third = () => {
		calls.push('third');
	};

	cancellation.signal.addEventListener('abort', () => {
		t.true(cancellation.signal.aborted);
		calls.push('first');
		cancellation.signal.removeEventListener('abort', third);
	});
	cancellation.signal.addEventListener('abort', () => {
		calls.push('second');
	}, {once: true});
	cancellation.signal.addEventListener('abort', third);
	t.false(cancellation.signal.aborted);
	cancellation.abort();
	cancellation.abort();
	t.deepEqual(calls, ['first', 'second']);
});

// A caller whose connection and response both end aborts twice; what was registered in between belongs to the clean-up of the first time.
test('a listener that is added after the abort, or by a listener, is not called', t => {
	const cancellation = new Cancellation();
	const calls: string[] = [];
	cancellation.addEventListener('abort', () => {
		calls.push('first');
		cancellation.addEventListener('abort', () => {
			calls.push('nested');
		});
	});
	cancellation.abort();
	cancellation.addEventListener('abort', () => {
		calls.push('late');
	});
	cancellation.abort();
	t.deepEqual(calls, ['first']);
});
