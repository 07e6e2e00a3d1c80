import type {ServerResponse} from 'node:http';
import {Cancellation} from '../net/index.js';

/** What the answer to a request waits for. */
export enum RequestPhase {
	/** The rest of the request, or that the event loop reads what has arrived. */
	Reading = 'reading',
	/** The result of the dispatcher. */
	Dispatched = 'dispatched',
	/** The caller, who has not received all of it. */
	Writing = 'writing',
}

/** A request whose answer is not written yet. */
export type OpenRequest = {
	readonly id: string;
	/** Monotonic milliseconds. */
	readonly arrivedAt: number;
	route?: string;
	phase: RequestPhase;
	/** Whether it can't be answered before the process ends; undefined until its route is known. */
	isTooLate?: () => boolean;
	/** Aborts when it is too late to read the rest of the request. */
	readonly tooLate: Cancellation;
	/** Gives up the run of the request and answers what is known of it; undefined unless it is dispatched. */
	giveUp?: () => void;
};

/** The requests whose answers are not written to their connections yet. */
export class OpenRequests {
	private readonly requests = new Map<ServerResponse, OpenRequest>();

	/** Number of requests. */
	get size(): number {
		return this.requests.size;
	}

	/** Adds a request until its answer is written or its connection closed. */
	add(res: ServerResponse, id: string, arrivedAt: number): OpenRequest {
		const request: OpenRequest = {
			id, arrivedAt, phase: RequestPhase.Reading, tooLate: new Cancellation(),
		};
		this.requests.set(res, request);
		res.once('close', () => {
			this.requests.delete(res);
		});
		return request;
	}

	/** Stops reading requests that can't be answered before the process ends. */
	rejectLate(): void {
		for (const {phase, isTooLate, tooLate} of this.requests.values()) {
			if (phase === RequestPhase.Reading && isTooLate?.() === true) {
				tooLate.abort();
			}
		}
	}

	/** Ends all requests with an answer: those that are being read were not run, what is known of the others decides. */
	giveUp(): void {
		for (const {phase, tooLate, giveUp} of this.requests.values()) {
			if (phase === RequestPhase.Reading) {
				tooLate.abort();
			} else {
				giveUp?.();
			}
		}
	}

	/** Returns all requests, the oldest first. */
	list(): OpenRequest[] {
		return [...this.requests.values()];
	}
}
