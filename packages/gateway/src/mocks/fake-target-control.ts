import type {Clock, KeyRange} from '@bluebellyard/core';
import {
	GrantReply, TargetControl, UnsentError, type GrantRequest, type TargetRef,
} from '../ports/index.js';

/** Key range granted to a fake target, until a monotonic time in milliseconds. */
type GrantedRange = KeyRange & {readonly fence: number; readonly until: number};

/** Grant that has arrived at a target and is not carried out yet. */
export type DelayedGrant = {
	readonly target: TargetRef;
	readonly request: GrantRequest;
	readonly arrivedAt: number;
	readonly reject: (err: Error) => void;
};

/** Fault of one target when it handles requests. */
export enum ControlFault {
	/** The request is neither carried out nor answered. */
	Lost = 'lost',
	/** The connection is refused. */
	Refused = 'refused',
	/** The request is carried out but not answered. */
	AnswerLost = 'answer-lost',
}

/** Targets that handle grants and releases like those of the platform. */
export class FakeTargetControl extends TargetControl {
	readonly faults = new Map<string, ControlFault>();
	readonly requests: string[] = [];
	/** Monotonic time of the last grant sent to each target, in milliseconds. */
	readonly lastGrantAt = new Map<string, number>();
	/** Targets whose grants are neither carried out nor answered until `failDelayed`. */
	readonly delayedTargets = new Set<string>();
	private readonly delayed: DelayedGrant[] = [];
	private readonly granted = new Map<string, GrantedRange[]>();
	private readonly seen = new Map<string, GrantedRange[]>();
	private readonly clock: Clock;

	constructor(clock: Clock) {
		super();
		this.clock = clock;
	}

	/** Whether grants are delayed at present. */
	get hasDelayed(): boolean {
		return this.delayed.length > 0;
	}

	/** Rejects the delayed grants, so that the leader has no answer to them, and returns them. */
	failDelayed(): DelayedGrant[] {
		this.delayedTargets.clear();
		const delayed = this.delayed.splice(0);
		for (const {reject} of delayed) {
			reject(new Error('no answer'));
		}

		return delayed;
	}

	/** Lets the processes that now run under the targets' names carry out delayed grants. Their leases count from the arrival of the calls. */
	carryOut(delayed: readonly DelayedGrant[]): void {
		for (const {target, request, arrivedAt} of delayed) {
			this.apply(target, request, arrivedAt);
		}
	}

	/** Replaces the process of a target by one that holds nothing and knows no fencing token. */
	restart(name: string): void {
		this.seen.delete(name);
		this.granted.delete(name);
	}

	/** Returns the targets that own a key now. */
	ownersOfKey(key: number): string[] {
		const now = this.clock.now();
		return [...this.granted].flatMap(([name, ranges]) => ranges.some(range => key >= range.from && key <= range.to && range.until > now) ? [name] : []);
	}

	override async grant(target: TargetRef, request: GrantRequest): Promise<GrantReply> {
		this.lastGrantAt.set(target.name, this.clock.now());
		this.requests.push(`grant ${target.name} ${request.from}-${request.to} ${request.fence}${request.handover === undefined ? '' : ` ${request.handover}`}`);
		if (this.delayedTargets.has(target.name)) {
			return new Promise((_resolve, reject) => {
				this.delayed.push({
					target, request, arrivedAt: this.clock.now(), reject,
				});
			});
		}

		const fault = this.faults.get(target.name);
		if (fault === ControlFault.Lost) {
			throw new Error('no answer');
		}

		if (fault === ControlFault.Refused) {
			throw new UnsentError('connection refused');
		}

		const reply = this.apply(target, request, this.clock.now());
		if (reply === GrantReply.Accepted && fault === ControlFault.AnswerLost) {
			throw new Error('no answer');
		}

		return reply;
	}

	override async release(target: TargetRef, range: KeyRange & {readonly fence: number}): Promise<string | undefined> {
		this.requests.push(`release ${target.name} ${range.from}-${range.to} ${range.fence}`);
		const fault = this.faults.get(target.name);
		if (fault === ControlFault.Lost || fault === ControlFault.Refused) {
			throw new Error('no answer');
		}

		this.granted.set(target.name, without(this.granted.get(target.name) ?? [], range));
		if (fault === ControlFault.AnswerLost) {
			throw new Error('no answer');
		}

		return `state of ${target.name}`;
	}

	private apply(target: TargetRef, request: GrantRequest, arrivedAt: number): GrantReply {
		const seen = this.seen.get(target.name) ?? [];
		if (seen.some(range => range.from <= request.to && request.from <= range.to && range.fence > request.fence)) {
			return GrantReply.Fenced;
		}

		const granted = {
			from: request.from, to: request.to, fence: request.fence, until: arrivedAt + request.leaseMs,
		};
		this.seen.set(target.name, [...seen, granted]);
		this.granted.set(target.name, [...without(this.granted.get(target.name) ?? [], request), granted]);
		return GrantReply.Accepted;
	}
}

function without(granted: readonly GrantedRange[], range: KeyRange): GrantedRange[] {
	return granted.flatMap(row => {
		if (row.from > range.to || range.from > row.to) {
			return [row];
		}

		return [{...row, to: range.from - 1}, {...row, from: range.to + 1}].filter(part => part.from <= part.to);
	});
}
