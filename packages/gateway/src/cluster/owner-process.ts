import type {TargetInfo} from '@bluebellyard/core';

/** What is known of the process of an owner. */
export enum OwnerProcess {
	/** Nothing says that it has ended. */
	Running,
	/** A later incarnation has its name and address: it accepts grants that were meant for the former one, and remembers no fencing token. */
	Restarted,
	/** A later incarnation has its name at another address, or its address under another name while its own record is gone: no process accepts grants that were meant for it. */
	Ended,
}

/**
 * Returns what the targets that were seen after an owner tell of its process. `seenTargets` is in the order of the
 * first sight; start times alone don't order processes, as a target's wall clock may have been set back.
 * `presentTargets` are those that have a record now: as long as an owner has one, the record of another target with its
 * address does not show that it has ended.
 */
export function findOwnerProcess(owner: string, seenTargets: ReadonlyMap<string, TargetInfo>, presentTargets: Pick<ReadonlyMap<string, TargetInfo>, 'has'>): OwnerProcess {
	let process = OwnerProcess.Running;
	let former: TargetInfo | undefined;
	for (const target of seenTargets.values()) {
		if (target.id === owner) {
			former = target;
			continue;
		}

		if (former === undefined || former.bornAt === 0 || target.bornAt <= former.bornAt) {
			continue;
		}

		const hasName = target.name === former.name;
		const hasAddr = target.addr === former.addr;
		if (hasName && hasAddr) {
			return OwnerProcess.Restarted;
		}

		if (hasName || (hasAddr && !presentTargets.has(owner))) {
			process = OwnerProcess.Ended;
		}
	}

	return process;
}
