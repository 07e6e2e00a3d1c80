import type {KeyRange, RangeOwnership} from '@bluebellyard/core';
import {GrantReply, UnsentError} from '../ports/index.js';
import {recordAccepted, type GrantState} from './grant.js';
import type {OwnershipManagerOptions} from './ownership-manager-options.js';
import type {SilentOwners} from './silent-owners.js';

/** Share of the lease after which a grant is renewed; leaves time for three more attempts and a change of the leader before it expires. */
const renewalShare = 1 / 2;

/** Delay before a failed grant is sent again, in milliseconds. */
const retryDelayMs = 250;

/** Options of `GrantSender`. */
export type GrantSenderOptions = Pick<OwnershipManagerOptions, 'service' | 'control' | 'clock' | 'timing' | 'telemetry' | 'findTarget'> & {
	readonly silentOwners: Pick<SilentOwners, 'recordAnswer' | 'recordSilence'>;
};

/** What to grant. */
export type GrantOrder = {
	readonly range: RangeOwnership;
	/** Parts of the range to grant; the whole range unless a part of it is about to move. */
	readonly parts: readonly KeyRange[];
	/** State handed over by a former owner, if any. */
	readonly handover: string | undefined;
};

/** Sends grants of one service to owners and records their outcomes. */
export class GrantSender {
	private readonly options: GrantSenderOptions;

	constructor(options: GrantSenderOptions) {
		this.options = options;
	}

	/** Sends a grant. Resolves to the reply of the owner; undefined if it did not answer. */
	async send(grant: GrantState, order: GrantOrder): Promise<GrantReply | undefined> {
		const {
			findTarget, clock, timing, telemetry, service, silentOwners,
		} = this.options;
		const {range} = order;
		const target = findTarget(range.owner);
		const sentAt = clock.now();
		grant.nextAt = sentAt + retryDelayMs;
		if (target === undefined) {
			return undefined;
		}

		grant.isInFlight = true;
		const formerSentAt = grant.lastSentAt;
		grant.lastSentAt = sentAt;
		try {
			const reply = await this.grantParts(order, target, grant.isFenced);
			silentOwners.recordAnswer(range.owner);
			if (reply === GrantReply.Accepted) {
				recordAccepted(grant, sentAt, timing);
				grant.nextAt = sentAt + (timing.leaseMs * renewalShare);
			}

			return reply;
		} catch (err) {
			if (err instanceof UnsentError) {
				grant.lastSentAt = formerSentAt;
			} else {
				grant.unansweredSentAt = sentAt;
			}

			silentOwners.recordSilence(range, sentAt);
			telemetry.warn('keeper', 'The target did not answer a grant.', {
				service, owner: range.owner, from: range.from, to: range.to, fence: range.fence, err,
			});
			return undefined;
		} finally {
			grant.isInFlight = false;
		}
	}

	/** Grants all parts. Rejects if a part was not answered; with `UnsentError` only if none was sent. */
	private async grantParts({range: {fence}, parts, handover}: GrantOrder, target: Parameters<OwnershipManagerOptions['control']['grant']>[0], isRenewal: boolean): Promise<GrantReply> {
		const {control, timing} = this.options;
		const results = await Promise.allSettled(parts.map(async ({from, to}) => control.grant(target, {
			from, to, fence, leaseMs: timing.leaseMs, handover, isRenewal,
		}, timing.transitMs)));
		const errors = results.filter(result => result.status === 'rejected').map(({reason}) => reason as unknown);
		if (errors.length > 0) {
			const unanswered = errors.find(err => !(err instanceof UnsentError));
			const isUnsent = unanswered === undefined && errors.length === results.length;
			throw isUnsent ? errors[0] : unanswered ?? new Error('some parts of the range could not be granted', {cause: errors[0]});
		}

		const replies = results.filter(result => result.status === 'fulfilled').map(({value}) => value);
		return replies.find(reply => reply !== GrantReply.Accepted) ?? GrantReply.Accepted;
	}
}
