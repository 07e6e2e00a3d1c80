import test from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {View, type Delta, type NodeInfo} from '../view/index.js';
import {ViewReplica} from './view-replica.js';

const leader: NodeInfo = {
	name: 'leader', domain: 'x', incarnation: 'leader-1', addr: 'leader:1', cores: 1,
};

function wholeView(seq: number, steward: string): Delta {
	return {
		isFull: true, seq, set: [['steward/q', steward]], gone: [],
	};
}

// A ping that timed out at the leader may arrive on a closing connection after later ones on the next connection.
test('a whole view that was overtaken by a later one of the same leader is not applied', t => {
	const view = new View();
	const replica = new ViewReplica(view, new ManualClock());
	const receive = (term: number, delta: Delta) => {
		replica.receive({
			leader, term, seq: delta.seq, base: undefined,
		}, delta);
	};

	receive(1, wholeView(10, 'a'));
	receive(1, wholeView(20, 'b'));
	receive(1, wholeView(10, 'a'));
	t.is(view.findSteward('q'), 'b');
	t.deepEqual(replica.state, {leader: 'leader-1', term: 1, seq: 20});
	receive(2, wholeView(5, 'c'));
	t.is(view.findSteward('q'), 'c');
});
