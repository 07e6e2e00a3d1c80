import type {Clock} from '@bluebellyard/core';
import {sleep} from '../net/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {NodeInfo} from '../view/index.js';
import type {Directory} from './directory.js';

/** Delay between two attempts to write the first entry, in milliseconds. */
const retryDelayMs = 800;

/** Longest delay before an entry is written again, in milliseconds. Drawn at random, so that the writes of hundreds of instances leave the store room for those of the leader. */
const maxDelayMs = 5000;

/** Options of `Registration`. */
export type RegistrationOptions = {
	readonly self: NodeInfo;
	readonly directory: Directory;
	readonly clock: Clock;
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
	readonly telemetry: Telemetry;
};

/** Writes the entry of this instance in the register, and again after returns of the store from an older copy. */
export class Registration {
	private readonly options: RegistrationOptions;
	/** Era for which a write is scheduled; 0 for none. */
	private pendingEra = 0;
	private dueAt = 0;
	private isWriting = false;
	private isStopped = false;

	constructor(options: RegistrationOptions) {
		this.options = options;
	}

	/** Writes the first entry, until that succeeds or `stop` is called. Resolves to the entries of all instances. */
	async register(): Promise<NodeInfo[]> {
		const {self, directory, telemetry} = this.options;
		while (!this.isStopped) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await directory.announce(self);
				// eslint-disable-next-line no-await-in-loop
				return await directory.list();
			} catch (err) {
				telemetry.warn('follower', 'This instance could not be registered in the store; trying again.', {err});
				// eslint-disable-next-line no-await-in-loop
				await sleep(retryDelayMs);
			}
		}

		return [];
	}

	/** Stops the attempts to write the first entry. */
	stop(): void {
		this.isStopped = true;
	}

	/**
	 * Writes the entry again, once for each era of the store and after a random delay, until the write succeeds. Called
	 * in each tick with the era that this instance knows of. Does nothing before the first entry is written.
	 */
	announceAgain(era: number | undefined): void {
		const {directory, clock} = this.options;
		const {announcedEra} = directory;
		if (era === undefined || announcedEra === undefined || era <= announcedEra || this.isWriting) {
			return;
		}

		if (era !== this.pendingEra) {
			this.pendingEra = era;
			this.scheduleWrite();
		} else if (clock.now() >= this.dueAt) {
			this.scheduleWrite();
			void this.write(era);
		}
	}

	private scheduleWrite(): void {
		const {clock, random} = this.options;
		this.dueAt = clock.now() + (random() * maxDelayMs);
	}

	private async write(era: number): Promise<void> {
		const {self, directory, telemetry} = this.options;
		this.isWriting = true;
		try {
			await directory.announce(self);
			telemetry.info('follower', 'This instance registered again, as the store returned from an older copy.', {era});
		} catch (err) {
			telemetry.warn('follower', 'This instance could not be registered again; trying again.', {era, err});
		} finally {
			this.isWriting = false;
		}
	}
}
