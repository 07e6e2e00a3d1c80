import type {EventQueue, SimulatedProcess} from './simulated-process.js';

/** Timeout of a question to the store, in milliseconds. */
const storeTimeoutMs = 2000;

/** An end of the network. */
export type NetworkNode = {
	readonly index: number;
	readonly process: SimulatedProcess;
};

/** Shares of messages that are lost, and of those that come late or twice; others arrive within 50 ms. */
export type NetworkFaults = {
	readonly lostShare: number;
	readonly lateShare: number;
};

/** Carries messages of simulated processes to one another and to a store, with faults. */
export class SimulatedNetwork {
	/** Indexes of the nodes on one side of a partition. */
	readonly side = new Set<number>();
	isPartitioned = false;
	/** Whether a partition cuts off `side` from the store, too. */
	isStoreCut = false;
	/** Time until which the store is unavailable, in milliseconds. */
	storeDownUntil = 0;
	private readonly queue: EventQueue;
	private readonly random: () => number;
	private readonly faults: NetworkFaults;

	constructor(queue: EventQueue, random: () => number, faults: NetworkFaults) {
		this.queue = queue;
		this.random = random;
		this.faults = faults;
	}

	/** Runs an operation in the store, unless it is unavailable; its answer may be lost. */
	askStore<T>({index, process}: NetworkNode, operation: () => T, onAnswer?: (answer: T) => void, onFailure?: () => void): void {
		const {lostShare, lateShare} = this.faults;
		const isReachable = () => this.queue.now >= this.storeDownUntil && !(this.isPartitioned && this.isStoreCut && this.side.has(index));
		const isLost = () => this.random() < lostShare / 2 || !isReachable();
		const delayMs = () => 3 + (this.random() * (this.random() < lateShare ? 900 : 20));
		let isDone = false;
		const finish = (run: (() => void) | undefined) => {
			if (!isDone) {
				isDone = true;
				run?.();
			}
		};

		process.after(storeTimeoutMs, () => {
			finish(onFailure);
		});
		if (isLost()) {
			return;
		}

		this.queue.after(delayMs(), () => {
			const answer = operation();
			if (!isLost()) {
				process.after(delayMs(), () => {
					finish(() => onAnswer?.(answer));
				});
			}
		});
	}

	/** Sends a message, which may be lost, late or repeated, to the node that has the index when it arrives. */
	send<T extends NetworkNode>(from: NetworkNode, to: number, {find, handle}: {find: () => T | undefined; handle: (receiver: T) => void}): void {
		const {lostShare, lateShare} = this.faults;
		const copies = this.random() < lateShare ? 2 : 1;
		for (let i = 0; i < copies; i += 1) {
			const isCut = this.isPartitioned && this.side.has(from.index) !== this.side.has(to);
			if (this.random() < lostShare || isCut || from.process.isEnded) {
				continue;
			}

			this.queue.after(1 + (this.random() * (this.random() < lateShare ? 4000 : 50)), () => {
				const receiver = find();
				receiver?.process.after(0, () => {
					handle(receiver);
				});
			});
		}
	}
}
