/**
 * An owner that restarts after it has accepted a grant of the present leader, before the leader has read its new record.
 * Its process remembers no fencing token, so a grant of a former leader that it received in time may be carried out late.
 */
import test from 'ava';
import {allKeys, OwnershipMap} from '@bluebellyard/core';
import {createHolderCheck, harnessTiming as timing, OwnershipHarness} from '../mocks/index.js';

test('a range does not move from an owner whose new process may carry out a grant of a former leader', async t => {
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 0);
	const harness = new OwnershipHarness({map, isInherited: true, inheritedLeaseEnd: 110_000});
	await harness.store.append('keyed.bluebellyard-owners', 'keys/s', '[[0,65535,"a",0,[]]]');
	harness.log.adopt(await harness.log.read());
	harness.owners = [{id: 'a', capacity: 4}];
	harness.manager.renewAllFences();
	await harness.run(3400, createHolderCheck(t));
	t.deepEqual(harness.control.ownersOfKey(5), ['a']);
	harness.control.restart('a');
	await harness.run(300, createHolderCheck(t));
	// It arrives 120 ms before the time from which no grant of the former leader can arrive.
	const late = {
		target: {name: 'a', addr: 'a'}, request: {...allKeys, fence: 0, leaseMs: timing.leaseMs}, arrivedAt: harness.clock.now(), reject() {
			// Nobody waits for the answer.
		},
	};
	await harness.run(300, createHolderCheck(t));
	harness.owners = [{id: 'b', capacity: 4}];
	await harness.run(500, createHolderCheck(t));
	harness.control.carryOut([late]);
	await harness.run(1000, createHolderCheck(t));
});
