/**
 * Guards against a configuration that comes late in large deployments, since a
 * new leader sends the whole view to followers whose state differs little from
 * its own, and against followers that are left with a mixed view without it.
 */
import test from 'ava';
import {seededRandom} from '@bluebellyard/core';
import {FollowerFleet} from '../mocks/index.js';

/** Runs a change of the leader in which the next one reads a new configuration 60 ms after its election. Returns times since that reading in milliseconds. */
async function changeLeader(instances: number, targets: number, isFresh = false) {
	const fleet = new FollowerFleet({
		seed: 1, instances, targets, linkMbps: 18, followerCores: 0.203, changesPerTick: 3,
	});
	await fleet.run(3000);
	const [former, next] = fleet.members;
	fleet.stopLeading();
	fleet.end(former);
	await fleet.run(50);
	if (isFresh) {
		next.replica.clear();
	}

	fleet.lead(next);
	await fleet.run(60);
	const readAt = fleet.clock.now();
	fleet.configure(2);
	await fleet.run(isFresh ? 5000 : 2000);
	const lags = [...fleet.appliedAt.values()].map(at => at - readAt).toSorted((a, b) => a - b);
	const {faults, wholeViews} = fleet;
	return {
		instances, targets, reached: lags.length, median: lags[Math.floor(lags.length / 2)], longest: lags.at(-1) ?? 0,
		wholeViews, kilobytes: Math.round(fleet.sentBytes / 1000), cpuMs: Math.round(fleet.leaderCpuMs), faults,
	};
}

for (const [instances, targets] of [[10, 999], [69, 198], [100, 999], [195, 999], [300, 999]]) {
	test.serial(`a new leader with ${instances} instances`, async t => {
		const result = await changeLeader(instances, targets);
		t.log(JSON.stringify(result));
		t.is(result.reached, instances - 2);
		t.deepEqual(result.faults, []);
		t.is(result.wholeViews, 0);
		// An election after a planned stop takes 0.7 s, and the shortest bound is 2 s.
		t.true(result.longest < 1000);
	});
}

// Whole views to all at once took the link for so long that pings timed out, and the views were sent again.
for (const instances of [100, 300]) {
	test.serial(`a new leader with ${instances} instances that all need the whole view`, async t => {
		const result = await changeLeader(instances, 999, true);
		t.log(JSON.stringify(result));
		t.is(result.reached, instances - 2);
		t.deepEqual(result.faults, []);
		t.is(result.wholeViews, instances - 2);
		t.true(result.longest < 1000);
	});
}

// A leader that is lost while it brings followers up to date leaves some of them with its states and others with those before.
test('after any changes of the leader all instances have its view', async t => {
	let wholeViews = 0;
	for (let seed = 1; seed <= 30; seed += 1) {
		const random = seededRandom(seed);
		const fleet = new FollowerFleet({
			seed, instances: 6, targets: 20, linkMbps: 18, followerCores: 0.203, changesPerTick: 2,
		});
		let version = 1;
		for (let i = 0; i < 6; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			await fleet.run(50 + (random() * 1000));
			version += random() < 0.7 ? 1 : 0;
			if (random() < 0.5) {
				fleet.configure(version);
				// eslint-disable-next-line no-await-in-loop
				await fleet.run(random() * 200);
			}

			wholeViews += fleet.wholeViews;
			fleet.lead(fleet.members[Math.floor(random() * fleet.members.length)]);
		}

		fleet.configure(version + 1);
		fleet.stopChanging();
		// eslint-disable-next-line no-await-in-loop
		await fleet.run(4000);
		t.deepEqual(fleet.differing(), [], `seed ${seed}`);
		t.deepEqual(fleet.faults, [], `seed ${seed}`);
	}

	t.log(`whole views: ${wholeViews}`);
});
