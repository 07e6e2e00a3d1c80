import type {Clock} from '@bluebellyard/core';
import type {Delta, View} from '../view/index.js';
import {
	findRange, isSameState, type Ping, type ViewState,
} from './messages.js';

/** Time for which a state is known after it was left, in milliseconds. A follower that answers is pinged every 0.6 s, one that missed a ping after 1.9 s. */
const maxStepAgeMs = 5000;

/** Delay of other instances' changes that the next leader allows for before it knows their states, in milliseconds: two pings of a leader of 200 instances. */
const assumedDelayMs = 1000;

/** Most states that are known. In 5 s an instance gets at most that many changes from a leader that pings it every 80 ms. */
const maxSteps = 64;

/** Rows of a change above which the states before it are forgotten, so that those of many keys of teams are not kept. */
const maxStepRows = 4096;

/** A state of the view, and how it differs from the one before. */
type Step = {
	readonly state: ViewState;
	/** Monotonic time at which the view reached it, in milliseconds. */
	readonly at: number;
	/** Values of the leader's rows before the change to this state, by key; undefined for rows that did not exist. */
	readonly former: ReadonlyMap<string, unknown>;
};

/** The states of former leaders on which the changes of a term can be based. */
export type BaseState = {
	/** State that other instances are assumed to have, or to have had, at the start of the term; one of `steps`. */
	readonly assumed: ViewState;
	/** States of this instance, oldest first, each with the sequence number in its store after which all rows come in which that state and later ones of its leader may differ. */
	readonly steps: ReadonlyArray<{readonly state: ViewState; readonly seq: number}>;
};

/**
 * Applies what leaders send to the view of this instance. It keeps the last states of the view, so that instances which
 * followed the same leader need only the rows in which they differ when one of them becomes leader. Two such instances
 * differ only in rows that one of them has changed since a state that both have had: the next leader sends those that
 * changed there, and a follower that is ahead of it returns to the common state in the others.
 */
export class ViewReplica {
	/** Oldest first; the last one is the present state. */
	private steps: Step[] = [];
	private readonly view: View;
	private readonly clock: Clock;

	constructor(view: View, clock: Clock) {
		this.view = view;
		this.clock = clock;
	}

	/** State of the view; undefined if it does not match any state that a leader sent. */
	get state(): ViewState | undefined {
		return this.steps.at(-1)?.state;
	}

	/** Records that the view was changed by something other than a leader. */
	clear(): void {
		this.steps = [];
	}

	/** Records that the view has a state that this instance published as leader. */
	reset(state: ViewState): void {
		this.steps = [{state, at: this.clock.now(), former: new Map()}];
	}

	/** Applies the changes of a ping if they can be based on a state that this instance has or had; otherwise the view and its state stay as they are. */
	receive(ping: Pick<Ping, 'leader' | 'term' | 'seq' | 'base' | 'bases' | 'isConfigOnly'>, delta: Delta | undefined): void {
		const state = {leader: ping.leader.incarnation, term: ping.term, seq: ping.seq};
		if (delta?.isFull === true) {
			if (this.state?.leader === state.leader && this.state.term === state.term && state.seq < this.state.seq) {
				// A later ping of the same leader has overtaken this one.
				return;
			}

			this.reset(state);
			this.view.apply(delta);
			return;
		}

		if (ping.isConfigOnly === true) {
			this.view.applyConfig(new Map(delta?.set));
			return;
		}

		const base = this.findBase(ping);
		if (base === undefined) {
			return;
		}

		const changes = this.withoutChangesAfter(base, delta ?? {
			isFull: false, seq: ping.seq, set: [], gone: [],
		});
		const keys = [...changes.set.map(([key]) => key), ...changes.gone];
		const former = new Map(keys.map(key => [key, this.view.leaderRow(key)]));
		if (keys.length > 0) {
			this.view.apply(changes);
		}

		this.add({state, at: this.clock.now(), former});
	}

	/** Returns the states on which the next term of this instance is based; undefined if the others need the whole view. */
	createBase(): BaseState | undefined {
		const {state, view} = this;
		const configKeys = view.adoptOwnConfig();
		if (state === undefined) {
			return undefined;
		}

		const steps = this.steps.map((step, i) => {
			if (i > 0) {
				// Rows that changed and changed back count, too: other instances may have a state in between.
				view.store.touch(step.former.keys());
			}

			return {state: step.state, seq: view.store.lastSeq};
		});
		view.store.touch(configKeys);
		const assumedAt = this.clock.now() - assumedDelayMs;
		const assumed = this.steps.findLastIndex((step, i) => i === 0 || step.at <= assumedAt);
		return {assumed: steps[assumed].state, steps};
	}

	/** Returns the index of the newest state to which the changes of a ping can be applied. */
	private findBase({leader, term, seq, base, bases}: Pick<Ping, 'leader' | 'term' | 'seq' | 'base' | 'bases'>): number | undefined {
		const {state, steps} = this;
		if (state === undefined) {
			return undefined;
		}

		const present = steps.length - 1;
		const ranges = bases ?? [];
		if (state.leader === leader.incarnation && state.term === term) {
			// A ping that was overtaken by a later one of the same leader must not bring its state back.
			return seq >= state.seq && (isSameState(base, state) || findRange(ranges, state) !== undefined) ? present : undefined;
		}

		const index = isSameState(base, state) ? present : steps.findLastIndex(step => findRange(ranges, step.state) !== undefined);
		return index === -1 ? undefined : index;
	}

	/** Returns the changes that lead from the present state to the one that `delta` leads to from an earlier state. */
	private withoutChangesAfter(index: number, delta: Delta): Delta {
		const later = this.steps.slice(index + 1);
		if (later.length === 0) {
			return delta;
		}

		// The earliest of the values counts that a row has had since then.
		const former = new Map(later.toReversed().flatMap(step => [...step.former]));
		for (const key of [...delta.set.map(([changed]) => changed), ...delta.gone]) {
			former.delete(key);
		}

		return {
			...delta,
			set: [...[...former].filter(([, value]) => value !== undefined), ...delta.set],
			gone: [...[...former].filter(([, value]) => value === undefined).map(([key]) => key), ...delta.gone],
		};
	}

	private add(step: Step): void {
		if (isSameState(step.state, this.state)) {
			return;
		}

		const steps = step.former.size <= maxStepRows ? [...this.steps, step] : [step];
		const oldestAt = step.at - maxStepAgeMs;
		this.steps = steps.slice(-maxSteps).filter((_, i, kept) => i === kept.length - 1 || kept[i + 1].at >= oldestAt);
	}
}
