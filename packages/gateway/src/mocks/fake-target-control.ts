import type {Clock, KeyRange} from '@bluebellyard/core';
import {
	GrantReply, TargetControl, type GrantRequest, type TargetRef,
} from '../ports/index.js';

/** What one fake target holds. */
type Held = KeyRange & {readonly fence: number; readonly until: number};

/** Behaviour of one target towards orders. */
export enum ControlFault {
	/** Neither carried out nor answered. */
	Lost = 'lost',
	/** Carried out, not answered. */
	AnswerLost = 'answer-lost',
}

/** Targets that take grants and releases as the platform's do. */
export class FakeTargetControl extends TargetControl {
	readonly faults = new Map<string, ControlFault>();
	readonly requests: string[] = [];
	/** Targets whose answers to grants are held back. */
	readonly delayedTargets = new Set<string>();
	private readonly delayed: Array<(err: Error) => void> = [];
	private readonly held = new Map<string, Held[]>();
	private readonly seen = new Map<string, Held[]>();
	private readonly clock: Clock;

	constructor(clock: Clock) {
		super();
		this.clock = clock;
	}

	/** Ends the grants that are held back without an answer. */
	failDelayed(): void {
		this.delayedTargets.clear();
		for (const reject of this.delayed.splice(0)) {
			reject(new Error('no answer'));
		}
	}

	/** Targets that hold a key now. */
	ownersOfKey(key: number): string[] {
		const now = this.clock.now();
		return [...this.held].flatMap(([name, rows]) => rows.some(row => key >= row.from && key <= row.to && row.until > now) ? [name] : []);
	}

	override async grant(target: TargetRef, order: GrantRequest): Promise<GrantReply> {
		this.requests.push(`grant ${target.name} ${order.from}-${order.to} ${order.fence}${order.handover === undefined ? '' : ` ${order.handover}`}`);
		if (this.delayedTargets.has(target.name)) {
			return new Promise((_resolve, reject) => {
				this.delayed.push(reject);
			});
		}

		const fault = this.faults.get(target.name);
		if (fault === ControlFault.Lost) {
			throw new Error('no answer');
		}

		const seen = this.seen.get(target.name) ?? [];
		if (seen.some(row => row.from <= order.to && order.from <= row.to && row.fence > order.fence)) {
			return GrantReply.Fenced;
		}

		const row = {
			from: order.from, to: order.to, fence: order.fence, until: this.clock.now() + order.leaseMs,
		};
		this.seen.set(target.name, [...seen, row]);
		this.held.set(target.name, [...without(this.held.get(target.name) ?? [], order), row]);
		if (fault === ControlFault.AnswerLost) {
			throw new Error('no answer');
		}

		return GrantReply.Accepted;
	}

	override async release(target: TargetRef, range: KeyRange & {readonly fence: number}): Promise<string | undefined> {
		this.requests.push(`release ${target.name} ${range.from}-${range.to} ${range.fence}`);
		const fault = this.faults.get(target.name);
		if (fault === ControlFault.Lost) {
			throw new Error('no answer');
		}

		this.held.set(target.name, without(this.held.get(target.name) ?? [], range));
		if (fault === ControlFault.AnswerLost) {
			throw new Error('no answer');
		}

		return `state of ${target.name}`;
	}
}

function without(rows: readonly Held[], range: KeyRange): Held[] {
	return rows.flatMap(row => {
		if (row.from > range.to || range.from > row.to) {
			return [row];
		}

		return [{...row, to: range.from - 1}, {...row, from: range.to + 1}].filter(part => part.from <= part.to);
	});
}
