/**
 * Partitions in which connections are accepted and nothing is answered. Guards against instances that go on sending to
 * targets which they don't reach, and against queues that move since targets are slow, full or crashed.
 */
import test from 'ava';
import {TargetFleet, type FleetCfg} from '../mocks/target-fleet.js';
import {seededRandom} from '../random/index.js';

const seeds = 200;

/** Time in which a partition is found by an instance whose requests are short, in milliseconds. */
const detectionMs = 2000;

/** Time in which the end of a partition is found, in milliseconds. */
const recoveryMs = 3000;

function drawCfg(random: () => number, workMs: number, perSecond: number): FleetCfg {
	return {
		services: 1 + Math.floor(random() * 3),
		targetsPerService: 3 + Math.floor(random() * 6),
		slots: 1 + Math.floor(random() * 4),
		queue: 1 + Math.floor(random() * 12),
		workMs,
		perSecond,
		queuesHealthChecks: random() < 0.5,
	};
}

test('a partition in which nothing is answered is found, and so is its end', t => {
	const detections: number[] = [];
	for (let seed = 1; seed <= seeds; seed += 1) {
		const random = seededRandom(seed);
		const fleet = new TargetFleet(drawCfg(random, 10 + (random() * 50), 15 + (random() * 60)), random);
		fleet.advance(2000 + (5 * Math.floor(random() * 20)));
		fleet.changes.length = 0;
		const startedAt = fleet.now;
		fleet.isUnanswered = true;
		fleet.advance(5000);
		t.is(fleet.changes.length, 1, `seed ${seed}`);
		detections.push(fleet.changes[0] - startedAt);
		t.true(fleet.changes[0] - startedAt <= detectionMs, `seed ${seed}: found after ${fleet.changes[0] - startedAt} ms`);
		fleet.isUnanswered = false;
		fleet.advance(recoveryMs);
		t.is(fleet.changes.length, 2, `seed ${seed}: end`);
	}

	detections.sort((a, b) => a - b);
	t.log(`found after ${detections[0]} to ${detections.at(-1)} ms, median ${detections[seeds / 2]}`);
});

const troubles: ReadonlyArray<{readonly name: string; readonly hasCrashes?: boolean; readonly begin: (fleet: TargetFleet, random: () => number) => void}> = [
	{
		name: 'all slow by a factor of 12', begin(fleet) {
			fleet.slowFactor = 12;
		},
	},
	{
		name: 'full', begin(fleet, random) {
			fleet.loadFactor = 4 + (random() * 40);
		},
	},
	{
		name: 'slow and full', begin(fleet) {
			fleet.slowFactor = 12;
			fleet.loadFactor = 4;
		},
	},
	{
		name: 'crashed, up to a third, while the others are slow', hasCrashes: true, begin(fleet, random) {
			fleet.slowFactor = 12;
			for (const target of fleet.targets.slice(0, Math.floor(fleet.targets.length / 3))) {
				target.isCrashed = random() < 0.7;
			}
		},
	},
];

for (const {name, hasCrashes = false, begin} of troubles) {
	test(`targets that are ${name} are no partition`, t => {
		const found: number[] = [];
		let byteChecks = 0;
		for (let seed = 1; seed <= seeds; seed += 1) {
			const random = seededRandom(seed);
			const fleet = new TargetFleet(drawCfg(random, 10 + (random() * 190), 2 + (random() * 60)), random);
			fleet.advance(2000);
			begin(fleet, random);
			fleet.advance(5000);
			fleet.slowFactor = 1;
			fleet.loadFactor = 1;
			for (const target of fleet.targets) {
				target.isCrashed = false;
			}

			fleet.advance(2000);
			byteChecks += fleet.byteChecks;
			// Connections that crashed targets refuse are evidence of another kind, which path-monitor.test.ts covers.
			if (fleet.changes.length > 0 && (fleet.unansweredDecisions > 0 || !hasCrashes)) {
				found.push(seed);
			}
		}

		t.log(`${byteChecks / seeds} health checks in 9 s`);
		t.deepEqual(found, []);
	});
}
