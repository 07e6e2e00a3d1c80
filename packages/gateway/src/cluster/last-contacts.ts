import {contactLimitMs} from './leader-contacts.js';
import {maxClockDifference, undetectedStepMs} from './contact-proof.js';

/** Time after its last contact for which a leader may send grants, by the clock of another instance, in milliseconds. */
export const sendAfterContactMs = (contactLimitMs * (1 + maxClockDifference)) + undetectedStepMs;

/** Circumstances in which a leader, which was not alone then, was superseded. */
export type LastContactsOptions = {
	/** Name of the former leader. */
	readonly leader: string;
	/** Monotonic time at which this instance last answered a ping of it or of an earlier leader, in milliseconds. */
	readonly answeredAt: number;
	/** Names of the instances that give it no contact. */
	readonly absent: readonly string[];
};

/**
 * Finds the time at which any instance may have answered a former leader last. Until shortly after it that leader may
 * send grants. All times are monotonic milliseconds.
 */
export class LastContacts {
	/** Name of the former leader. */
	readonly leader: string;
	private readonly absent: ReadonlySet<string>;
	/** Latest time at which each instance answered the former leader. */
	private readonly answeredAt = new Map<string, number>();
	/** Instances that must follow; undefined until the register was read. */
	private instances: readonly string[] | undefined;

	constructor(private readonly options: LastContactsOptions) {
		this.leader = options.leader;
		this.absent = new Set(options.absent);
	}

	/** Sets the other instances that may have been known to the former leader: all in the register, as read after the election. */
	setInstances(names: readonly string[]): void {
		this.instances = names.filter(name => name !== this.leader && !this.absent.has(name));
	}

	/** Records that an instance follows the present leader, and when it last answered an earlier one, or started. */
	recordFollower(name: string, answeredAt: number): void {
		this.answeredAt.set(name, Math.min(answeredAt, this.answeredAt.get(name) ?? Number.POSITIVE_INFINITY));
	}

	/** Latest time at which the former leader may send a grant; infinity while an instance does not follow. */
	get sendEnd(): number {
		if (this.instances === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		const times = this.instances.map(name => this.answeredAt.get(name) ?? Number.POSITIVE_INFINITY);
		return Math.max(this.options.answeredAt, ...times) + sendAfterContactMs;
	}
}
