import type {EventQueue} from './event-queue.js';
import type {Rng} from './rng.js';
import type {SimulatedNode} from './simulated-node.js';

/** Effect of a faulty link on messages. */
export enum LinkFault {
	Cut = 'cut',
	Slow = 'slow',
	Duplicate = 'duplicate',
	Reorder = 'reorder',
	LoseAnswers = 'lose-answers',
}

/** A fault that affects all messages from one set of nodes to another. */
export type LinkRule = {
	readonly fault: LinkFault;
	readonly from: (node: SimulatedNode) => boolean;
	readonly to: (node: SimulatedNode) => boolean;
};

/** A call from one node to another. */
export type Call<T> = {
	readonly from: SimulatedNode;
	readonly to: SimulatedNode;
	/** Runs at the receiver. Throws `CallRefused` to answer that it did nothing. */
	readonly handle: () => T;
	/** Runs at the sender. Either this or `onFailure` runs, at most once. */
	readonly onAnswer: (answer: T) => void;
	/** Runs at the sender; `mayHaveRun` is true if the receiver may have handled the call. */
	readonly onFailure?: (mayHaveRun: boolean) => void;
	readonly timeoutMs: number;
	/** Whether a faulty network may deliver the call twice. */
	readonly mayDuplicate?: boolean;
};

/** Error of a receiver that refuses a call and has done nothing. */
export class CallRefused extends Error {
	override readonly name = 'CallRefused';
}

const latencyMs = {min: 0.5, max: 3};
const slowDelayMs = {min: 100, max: 400};
const reorderDelayMs = {min: 0, max: 150};
const duplicateDelayMs = {min: 0, max: 600};

/** Delivers messages between nodes after random delays and applies link faults. */
export class Network {
	private rules: LinkRule[] = [];

	private readonly queue: EventQueue;
	private readonly rng: Rng;

	constructor(queue: EventQueue, rng: Rng) {
		this.queue = queue;
		this.rng = rng;
	}

	/** Adds a link fault. Returns the function that removes it. */
	addRule(rule: LinkRule): () => void {
		this.rules.push(rule);
		return () => {
			this.rules = this.rules.filter(other => other !== rule);
		};
	}

	/** Whether any link fault is active. */
	get hasFaults(): boolean {
		return this.rules.length > 0;
	}

	/** Sends a message. */
	send(from: SimulatedNode, to: SimulatedNode, deliver: () => void, mayDuplicate = false): void {
		this.deliver(from, to, deliver, false);
		if (mayDuplicate && this.hasFault(LinkFault.Duplicate, from, to)) {
			this.queue.schedule(this.rng.between(duplicateDelayMs.min, duplicateDelayMs.max), () => {
				this.deliver(from, to, deliver, false);
			});
		}
	}

	/** Calls another node; the call fails if there is no answer within its timeout. */
	call<T>(call: Call<T>): void {
		let isOver = false;
		const finish = (run: () => void) => {
			call.from.run(() => {
				if (!isOver) {
					isOver = true;
					run();
				}
			});
		};

		let isRefused = false;
		this.send(call.from, call.to, () => {
			// A receiver that refused the connection got no message, so there is none to duplicate.
			isRefused ||= !this.handleCall(call, finish);
		}, call.mayDuplicate);
		call.from.schedule(call.timeoutMs, () => {
			finish(() => call.onFailure?.(true));
		});
	}

	/** Handles a call at the receiver and sends the answer. Returns whether the receiver accepted the call. */
	private handleCall<T>(call: Call<T>, finish: (run: () => void) => void): boolean {
		try {
			const answer = call.handle();
			this.deliver(call.to, call.from, () => {
				finish(() => {
					call.onAnswer(answer);
				});
			}, true);
			return true;
		} catch (err) {
			if (!(err instanceof CallRefused)) {
				throw err;
			}

			this.deliver(call.to, call.from, () => {
				finish(() => call.onFailure?.(false));
			}, false);
			return false;
		}
	}

	private deliver(from: SimulatedNode, to: SimulatedNode, run: () => void, isAnswer: boolean): void {
		const isLost = this.hasFault(LinkFault.Cut, from, to)
			|| (isAnswer && this.hasFault(LinkFault.LoseAnswers, from, to));
		if (isLost) {
			return;
		}

		this.queue.schedule(this.delayMs(from, to), () => {
			to.run(run);
		});
	}

	private delayMs(from: SimulatedNode, to: SimulatedNode): number {
		let ms = this.rng.between(latencyMs.min, latencyMs.max);
		if (this.hasFault(LinkFault.Slow, from, to)) {
			ms += this.rng.between(slowDelayMs.min, slowDelayMs.max);
		}

		if (this.hasFault(LinkFault.Reorder, from, to)) {
			ms += this.rng.between(reorderDelayMs.min, reorderDelayMs.max);
		}

		return ms;
	}

	private hasFault(fault: LinkFault, from: SimulatedNode, to: SimulatedNode): boolean {
		return this.rules.some(rule => rule.fault === fault && rule.from(from) && rule.to(to));
	}
}
