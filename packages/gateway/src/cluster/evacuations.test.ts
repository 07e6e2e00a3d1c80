import test from 'ava';
import {Evacuations} from './evacuations.js';

const key = 'evacuate/x';

test('an evacuation that a listing lacks ends at its time', t => {
	const evacuations = new Evacuations();
	evacuations.set(key, 'x');
	evacuations.endMissing(new Map(), 1000);
	evacuations.expire(999);
	t.deepEqual([...evacuations.domains], ['x']);
	evacuations.expire(1000);
	t.deepEqual([...evacuations.domains], []);
});

// An instance that leads a second time must not act on what it awaited in its first term.
test('an evacuation of the view does not end by the time of an earlier term', t => {
	const evacuations = new Evacuations();
	evacuations.set(key, 'x');
	evacuations.endMissing(new Map(), 1000);
	evacuations.load(new Set(['x']));
	evacuations.expire(5000);
	t.deepEqual([...evacuations.domains], ['x']);
});

test('an evacuation that ended under another leader is not taken up again', t => {
	const evacuations = new Evacuations();
	evacuations.set(key, 'x');
	evacuations.load(new Set(['y']));
	t.deepEqual([...evacuations.domains], ['y']);
});
