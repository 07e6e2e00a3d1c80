import test from 'ava';
import {ManualClock, type Team} from '@bluebellyard/core';
import {TeamCeilings} from '../cluster/team-ceilings.js';
import type {TeamCeilingsReply, TeamUseMessage} from '../cluster/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View, type NodeInfo} from '../view/index.js';
import {TeamRates} from './team-rates.js';

const team: Team = {name: 'a', ratePerSecond: 50, burst: 50};

function node(name: string): NodeInfo {
	return {
		name, incarnation: `${name}-1`, domain: 'x', addr: `${name}:1`, cores: 1,
	};
}

/** One instance and the leader's part in one process; the view is shared. */
class Harness {
	readonly clock = new ManualClock(100_000);
	readonly view = new View();
	readonly telemetry = new Telemetry(this.clock);
	readonly ceilings: TeamCeilings;
	readonly rates: TeamRates;
	readonly sent: TeamUseMessage[] = [];
	heardAt = 100_000;
	/** Whether the leader is of a version without teams. */
	isEarlierVersion = false;

	constructor() {
		this.view.store.set('team/a', team);
		for (const name of ['e0', 'e1', 'e2']) {
			this.view.store.set(`node/${name}`, node(name));
		}

		this.ceilings = new TeamCeilings(this);
		this.rates = new TeamRates({
			...this, self: node('e1'), random: () => 0.5, leader: () => ({era: 0, term: 1, heardAt: this.heardAt}), sendUse: async message => this.answer(message),
		});
	}

	/** Plays requests at a rate; the leader pings every 600 ms and ticks every 100 ms. Returns how many were admitted. */
	async play(perSecond: number, ms: number): Promise<number> {
		let admitted = 0;
		for (let at = 0; at < ms; at += 10) {
			this.clock.advance(10);
			const now = this.clock.now();
			for (let i = Math.floor(at * perSecond / 1000); i < Math.floor((at + 10) * perSecond / 1000); i += 1) {
				admitted += this.rates.admit(team, now).permit === undefined ? 0 : 1;
			}

			if (at % 600 === 0) {
				this.heardAt = now;
				this.ceilings.record('e0', 'e0-1', undefined);
				this.ceilings.record('e1', 'e1-1', this.rates.report());
				this.ceilings.record('e2', 'e2-1', undefined);
			}

			if (at % 100 === 0 && !this.isEarlierVersion) {
				this.ceilings.update();
			}

			// Answers to reports arrive within the step.
			// eslint-disable-next-line no-await-in-loop
			await Promise.resolve();
		}

		return admitted;
	}

	private async answer(message: TeamUseMessage): Promise<TeamCeilingsReply | undefined> {
		this.sent.push(message);
		return this.isEarlierVersion ? undefined : this.ceilings.handle(message, {era: 0, term: 1});
	}
}

// A deployment without teams must send what it sent before.
test('team rates: no report without requests of a team with a limit', t => {
	const {rates, clock} = new Harness();
	rates.admit({name: 'free', burst: 0}, clock.now());
	t.is(rates.report(), undefined);
});

test('team rates: a flood is limited by a published ceiling, which ends with it', async t => {
	const harness = new Harness();
	await harness.play(30, 6000);
	t.is(harness.view.teamCeilings.size, 0);
	const admitted = await harness.play(225, 5000);
	t.true(admitted <= (((50 * 5) + 50) * 1.1) + 20, `${admitted}`);
	t.true(admitted >= 50 * 5 * 0.95, `${admitted}`);
	t.is(harness.view.teamCeilings.size, 1);
	t.true(harness.sent.length > 0);
	const admittedLater = await harness.play(20, 6000);
	t.is(harness.view.teamCeilings.size, 0);
	t.true(admittedLater >= 60, `${admittedLater}`);
});

// A leader of an earlier version publishes nothing and does not answer reports.
test('team rates: without answers to its reports an instance falls to its part of the limit', async t => {
	const harness = new Harness();
	harness.isEarlierVersion = true;
	await harness.play(30, 1000);
	const admitted = await harness.play(225, 5000);
	t.is(harness.view.teamCeilings.size, 0);
	t.true(admitted <= 150, `${admitted}`);
	t.true(admitted > 0);
});

// Revoked keys and removed limits must not leave ceilings behind.
test('team rates: the ceiling of a team that is gone is removed', async t => {
	const harness = new Harness();
	await harness.play(225, 2000);
	t.is(harness.view.teamCeilings.size, 1);
	harness.view.store.remove('team/a');
	harness.ceilings.update();
	t.is(harness.view.teamCeilings.size, 0);
});
