/** The end of a target while a request ran there. */
export type Crash = {
	/** Id of the incarnation of the target. */
	readonly target: string;
	/** Version of its software; empty if unknown. */
	readonly version: string;
	/** Whether no other request ran there, as far as its sender knows. */
	readonly isAlone: boolean;
};

/** A request under which targets have ended, by its fingerprint. */
export type Suspect = {
	readonly service: string;
	readonly crashes: readonly Crash[];
	/** Trials since its third crash. */
	readonly trials: number;
	/** Whether it must not run at all; otherwise it may run as a trial that the leader permits. */
	readonly isQuarantined: boolean;
};

/** Result of a trial run. */
export enum TrialOutcome {
	/** A target answered it whole. */
	Answered = 'answered',
	/** It was sent to no target. */
	NotSent = 'not-sent',
	/** The target stated that it did not run. */
	NotRun = 'not-run',
	/** It ended without an answer, with its target or not. */
	Unknown = 'unknown',
}

/** How a request runs with regard to crashes of its target. */
export enum RunMode {
	/** It is not suspected. */
	Usual = 'usual',
	/** It is a trial that the leader permitted. */
	Trial = 'trial',
	/** It is a trial beside which nothing else runs at its target. */
	TrialAlone = 'trial-alone',
}

/** Answer to the question whether a suspect may run now. */
export type TrialDecision = {
	readonly isGranted: boolean;
	/** Whether nothing else may run at its target meanwhile. */
	readonly isAlone: boolean;
	/** Time after which to ask again, in milliseconds. */
	readonly retryAfterMs: number;
};

/** Crashes after which a request is quarantined whatever ran beside it; one that is sent very often may have been at three of them by chance. */
const maxCrashes = 4;

/** Crashes after which it is quarantined if nothing else ran at one of the targets. */
const maxCrashesAlone = 2;

/** Returns whether the crashes leave no doubt that the request is their cause. */
export function isProven(crashes: readonly Crash[]): boolean {
	return crashes.length >= maxCrashes || (crashes.length >= maxCrashesAlone && crashes.some(({isAlone}) => isAlone));
}
