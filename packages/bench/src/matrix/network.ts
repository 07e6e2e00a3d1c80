import type {EventQueue} from './event-queue.js';
import type {Rng} from './rng.js';
import type {SimulatedNode} from './simulated-node.js';

/** What a faulty link does to a message. */
export enum LinkFault {
	Cut = 'cut',
	Slow = 'slow',
	Duplicate = 'duplicate',
	Reorder = 'reorder',
	LoseAnswers = 'lose-answers',
}

/** A fault on all messages that go from one set of sites to another. */
export type LinkRule = {
	readonly fault: LinkFault;
	readonly from: (site: SimulatedNode) => boolean;
	readonly to: (site: SimulatedNode) => boolean;
};

/** One call from site to site. */
export type Call<T> = {
	readonly from: SimulatedNode;
	readonly to: SimulatedNode;
	/** Runs at the receiver; throws `CallRefused` when it answers that it did nothing. */
	readonly handle: () => T;
	/** Runs at the sender, once at most, unless `failed` does. */
	readonly onAnswer: (answer: T) => void;
	/** Runs at the sender; `mayHaveRun` tells whether the receiver may have handled it. */
	readonly onFailure?: (mayHaveRun: boolean) => void;
	readonly timeoutMs: number;
	/** Whether a faulty network may deliver it twice. */
	readonly mayDuplicate?: boolean;
};

/** The receiver refused a call and did nothing. */
export class CallRefused extends Error {
	override readonly name = 'CallRefused';
}

const latencyMs = {min: 0.5, max: 3};
const slowMs = {min: 100, max: 400};
const reorderMs = {min: 0, max: 150};
const repeatMs = {min: 0, max: 600};

/** Delivers messages between sites after seeded delays, with faults by link. */
export class Network {
	private rules: LinkRule[] = [];

	private readonly queue: EventQueue;
	private readonly rng: Rng;

	constructor(queue: EventQueue, rng: Rng) {
		this.queue = queue;
		this.rng = rng;
	}

	/** Adds a fault; gives the function that ends it. */
	addRule(rule: LinkRule): () => void {
		this.rules.push(rule);
		return () => {
			this.rules = this.rules.filter(other => other !== rule);
		};
	}

	/** Whether any link is faulty. */
	get hasFaults(): boolean {
		return this.rules.length > 0;
	}

	/** Sends one message. */
	send(from: SimulatedNode, to: SimulatedNode, deliver: () => void, mayRepeat = false): void {
		this.deliver(from, to, deliver, false);
		if (mayRepeat && this.has(LinkFault.Duplicate, from, to)) {
			this.queue.schedule(this.rng.between(repeatMs.min, repeatMs.max), () => {
				this.deliver(from, to, deliver, false);
			});
		}
	}

	/** Calls another site and waits for its answer. */
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
			// Nothing was sent to a receiver that refused the connection, so nothing is repeated.
			isRefused ||= !this.answer(call, finish);
		}, call.mayDuplicate);
		call.from.schedule(call.timeoutMs, () => {
			finish(() => call.onFailure?.(true));
		});
	}

	/** Handles a call and answers; returns whether the receiver took it. */
	private answer<T>(call: Call<T>, finish: (run: () => void) => void): boolean {
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
		const isLost = this.has(LinkFault.Cut, from, to)
			|| (isAnswer && this.has(LinkFault.LoseAnswers, from, to));
		if (isLost) {
			return;
		}

		this.queue.schedule(this.delayMs(from, to), () => {
			to.run(run);
		});
	}

	private delayMs(from: SimulatedNode, to: SimulatedNode): number {
		let ms = this.rng.between(latencyMs.min, latencyMs.max);
		if (this.has(LinkFault.Slow, from, to)) {
			ms += this.rng.between(slowMs.min, slowMs.max);
		}

		if (this.has(LinkFault.Reorder, from, to)) {
			ms += this.rng.between(reorderMs.min, reorderMs.max);
		}

		return ms;
	}

	private has(fault: LinkFault, from: SimulatedNode, to: SimulatedNode): boolean {
		return this.rules.some(rule => rule.fault === fault && rule.from(from) && rule.to(to));
	}
}
