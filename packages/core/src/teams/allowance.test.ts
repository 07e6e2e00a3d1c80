/**
 * Plays the rate limit of a team at 3 to 450 instances: 200 seeds over all sizes and faults. It guards against a limit that
 * is exceeded while the leader does not know what runs, against rate that is left unused, and against needless rejections.
 */
import test from 'ava';
import {
	FleetFault, stepMs, TeamFleet, type TeamFleetCfg, type TeamFleetResult,
} from '../mocks/index.js';
import type {Team} from './team.js';

const sizes = [3, 12, 91, 450];
const faults = Object.values(FleetFault);

/** Seeds of each size: six for each of seven faults, and four each at full and at usual load. */
const seedsPerFault = 6;
const seedsPerLoad = 4;

const windowMs = 5000;
const faultAt = 4000;
const shiftAt = 6000;

/** Multiples of the limit. A flood is 7.5 times the usual load. */
const usual = 0.6;
const flood = usual * 7.5;
const full = 2;

function teamOf(seed: number): Team {
	const [ratePerSecond, burst] = [[216, 216], [33, 33], [500, 500], [216, 0], [100, 50]][seed % 5];
	return {name: 'a', ratePerSecond, burst};
}

function play(seed: number, instances: number, cfg: Partial<TeamFleetCfg>): TeamFleetResult {
	return new TeamFleet({
		seed, instances, team: teamOf(seed), fault: FleetFault.None, faultAt, durationMs: 13_000, demandAt: () => usual, ...cfg,
	}).play();
}

function sum(counts: readonly number[], fromMs: number, toMs: number): number {
	return counts.slice(fromMs / stepMs, toMs / stepMs).reduce((total, count) => total + count, 0);
}

/** Returns the largest number of requests in a window from the given time on, as a share of what the limit tolerates. */
function worstWindow({run}: TeamFleetResult, {ratePerSecond = 0, burst}: Team, fromMs = 0): number {
	const steps = windowMs / stepMs;
	let inWindow = 0;
	let most = 0;
	for (let i = fromMs / stepMs; i < run.length; i += 1) {
		inWindow += run[i] - (i - steps >= fromMs / stepMs ? run[i - steps] : 0);
		most = Math.max(most, inWindow);
	}

	return most / ((((ratePerSecond * windowMs / 1000) + burst) * 1.1) + 20);
}

for (const size of sizes) {
	for (const [i, fault] of faults.entries()) {
		test(`allowance: no window exceeds the limit in a flood, ${size} instances, ${fault}`, t => {
			for (let n = 0; n < seedsPerFault; n += 1) {
				const seed = (i * seedsPerFault) + n;
				const floodAt = 2500 + (n * 900);
				const team = teamOf(seed);
				const result = play(seed, size, {fault, demandAt: at => at < floodAt ? usual : flood});
				const worst = worstWindow(result, team);
				t.true(worst <= 1, `seed ${seed}: ${worst}`);
				const lowered = {...team, ratePerSecond: team.ratePerSecond! / 2, burst: team.burst / 2};
				const worstLowered = worstWindow(result, lowered, result.loweredAt);
				t.true(worstLowered <= 1, `seed ${seed}, after the limit was lowered: ${worstLowered}`);
			}
		});
	}

	test(`allowance: the limit is used from 1 s after a shift of the demand, ${size} instances`, t => {
		for (let seed = 100; seed < 100 + seedsPerLoad; seed += 1) {
			const result = play(seed, size, {durationMs: 16_000, demandAt: () => full, shiftAt});
			const used = sum(result.run, shiftAt + 1000, 16_000) / (9 * teamOf(seed).ratePerSecond!);
			t.true(used >= 0.95, `seed ${seed}: ${used}`);
		}
	});

	test(`allowance: a team below its limit is hardly rejected, ${size} instances`, t => {
		for (let seed = 200; seed < 200 + seedsPerLoad; seed += 1) {
			const result = play(seed, size, {shiftAt});
			const refused = result.refused / sum(result.offered, 0, 13_000);
			t.true(refused < 0.01, `seed ${seed}: ${refused}`);
		}
	});
}
