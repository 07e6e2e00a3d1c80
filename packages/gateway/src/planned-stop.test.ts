/**
 * What is open at the end of a stop is answered before everything is closed: the results of given-up requests come some
 * turns later, also when the grace period is short or the event loop is late.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {StopSchedule, systemClock} from '@bluebellyard/core';
import {PlannedStop} from './planned-stop.js';
import {Telemetry} from './telemetry/index.js';

for (const graceMs of [2500, 3000]) {
	test(`requests that are given up after a grace period of ${graceMs} ms are answered before the end`, async t => {
		const counts = {
			unused: 0, idle: 0, receiving: 0, busy: 1,
		};
		let inFlight = 1;
		let inFlightAtEnd: number | undefined;
		const stop = new PlannedStop({
			graceMs,
			schedule: new StopSchedule(systemClock, () => 100),
			dispatcher: {
				rejectLate() {
					// Nothing waits.
				},
			},
			queues: {inFlight: 0, queued: 0},
			net: {hasReplies: false},
			clock: systemClock,
			telemetry: new Telemetry(systemClock),
			callers: {
				get inFlight() {
					return inFlight;
				},
				connectionCount: 1,
				countConnections: () => counts,
				beginStop() {
					// Nothing arrives.
				},
				async closeIdle() {
					// No connection is idle.
				},
				giveUp() {
					void sleep(5).then(() => {
						inFlight = 0;
					});
				},
				logOpenRequests() {
					// The test counts them.
				},
			},
			leave() {
				// There are no other instances.
			},
			async close() {
				inFlightAtEnd = inFlight;
			},
		});
		await stop.run();
		t.is(inFlightAtEnd, 0);
	});
}
