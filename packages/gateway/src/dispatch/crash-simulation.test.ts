/**
 * Over many random schedules of messages, lost leaders, restarts and losses of all instances, a request that crashes its
 * targets is stopped, and no other request stays blocked.
 */
import test from 'ava';
import {seededRandom} from '@bluebellyard/core';
import {CrashSimulation} from '../mocks/crash-simulation.js';

const seeds = 200;

/** Time for which requests are sent, in simulated milliseconds; less than the quarantine, whose trials have tests of their own. */
const lengthMs = 40_000;

/** Time after the third crash from which runs are counted, in milliseconds. */
const contactMs = 3000;

/** Largest number of runs after that time. */
const maxLaterRuns = 3;

/** Longest time until other requests run again after the last fault, in milliseconds. */
const recoveryMs = 15_000;

const innocents = ['/popular', '/a', '/b', '/c'];

function scheduleFaults(simulation: CrashSimulation, seed: number): void {
	const random = seededRandom(seed * 65_537);
	const faults = [
		() => {
			simulation.loseLeader();
		},
		() => {
			simulation.restartFollower();
		},
		() => {
			simulation.loseAll();
		},
	];
	for (let at = random() * 2000; at < lengthMs; at += random() * 8000) {
		simulation.after(at, faults[Math.floor(random() * faults.length)]);
	}
}

for (let seed = 1; seed <= seeds; seed += 1) {
	test(`a request that crashes targets is stopped and others run, seed ${seed}`, async t => {
		const simulation = new CrashSimulation(seed, {instances: 5, targets: 8});
		scheduleFaults(simulation, seed);
		simulation.repeatRequests('/popular', 30, lengthMs);
		for (const path of innocents.slice(1)) {
			simulation.repeatRequests(path, 400, lengthMs);
		}

		simulation.repeatRequests('/crash', 250, lengthMs);
		await simulation.runUntil(lengthMs + recoveryMs);
		const third = simulation.crashes.at(2) ?? Number.POSITIVE_INFINITY;
		const later = simulation.crashRuns.filter(at => at > third + contactMs);
		t.true(later.length <= maxLaterRuns, `${later.length} runs after the third crash at ${third}: ${later.join(', ')}`);
		for (const path of innocents) {
			const result = simulation.request(path);
			// eslint-disable-next-line no-await-in-loop
			await simulation.runUntil(simulation.clock.now() + 2000);
			// eslint-disable-next-line no-await-in-loop
			const {kind} = await result;
			t.is(kind, 'answer', `request for ${path}`);
		}
	});
}
