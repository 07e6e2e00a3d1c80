import type {TargetInfo} from '@bluebellyard/core';

/** What is known of the process of an owner. */
export enum OwnerProcess {
	/** Nothing says that it has ended. */
	Running,
	/** A later incarnation has its name and address: it accepts grants that were meant for the former one, and remembers no fencing token. */
	Restarted,
	/** A later incarnation has its name at another address, or its address under another name: no process accepts grants that were meant for it. */
	Ended,
}

/** Returns what the other targets that were seen tell of the process of an owner. */
export function findOwnerProcess(owner: TargetInfo | undefined, seenTargets: Iterable<TargetInfo>): OwnerProcess {
	let process = OwnerProcess.Running;
	if (owner === undefined || owner.bornAt === 0) {
		return process;
	}

	for (const target of seenTargets) {
		const hasName = target.name === owner.name;
		const hasAddr = target.addr === owner.addr;
		if (target.bornAt <= owner.bornAt || !(hasName || hasAddr)) {
			continue;
		}

		if (hasName && hasAddr) {
			return OwnerProcess.Restarted;
		}

		process = OwnerProcess.Ended;
	}

	return process;
}
