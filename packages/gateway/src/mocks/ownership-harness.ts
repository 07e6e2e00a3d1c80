import {
	leaseExpiry, OwnershipMap, ManualClock, type KeyRates, type EligibleOwner,
} from '@bluebellyard/core';
import {OwnerLog, OwnerProcess, OwnershipManager} from '../cluster/index.js';
import {Telemetry} from '../telemetry/index.js';
import {FakeTargetControl} from './fake-target-control.js';
import {HeldLog} from './held-log.js';

export const harnessTiming = {leaseMs: 6000, transitMs: 500};

/** Owners of a harness unless the test replaces them. */
export const harnessOwners: EligibleOwner[] = [{id: 'a', capacity: 4}, {id: 'b', capacity: 4}];

/** Keys that `createHolderCheck` looks at. */
const checkedKeys = [0, 5, 1000, 32_767, 32_768, 40_000, 65_535];

/** State that an ownership manager takes over from a former leader. */
export type OwnershipHarnessOptions = {
	readonly map?: OwnershipMap;
	readonly isInherited?: boolean;
	readonly inheritedLeaseEnd?: number;
};

/** Runs an ownership manager against fake targets and a store in memory. An owner `a@2` is an incarnation of the target `a`. */
export class OwnershipHarness {
	readonly clock = new ManualClock(100_000);
	readonly control = new FakeTargetControl(this.clock);
	readonly store = new HeldLog();
	readonly log = new OwnerLog(this.store);
	/** What is known of the processes of owners that do not run any more. */
	readonly processes = new Map<string, OwnerProcess>();
	readonly manager: OwnershipManager;
	owners: readonly EligibleOwner[] = harnessOwners;
	rates: KeyRates = [];
	mayMove = true;
	inheritedLeaseEnd: number;

	constructor({map = OwnershipMap.empty(), isInherited = false, inheritedLeaseEnd = Number.NEGATIVE_INFINITY}: OwnershipHarnessOptions = {}) {
		this.inheritedLeaseEnd = inheritedLeaseEnd;
		this.manager = new OwnershipManager({
			service: 's',
			control: this.control,
			clock: this.clock,
			timing: harnessTiming,
			telemetry: new Telemetry(this.clock),
			write: async change => this.log.write('s', {era: 0, term: 1}, change),
			onChange() {
				// The test calls `tick` itself.
			},
			onFailedWrite: () => {
				void this.log.read().then(state => {
					this.log.adopt(state);
					this.manager.reload(state.owners.get('s')?.map);
				});
			},
			findTarget(owner) {
				const [name] = owner.split('@');
				return {addr: name, name};
			},
			findProcess: owner => this.processes.get(owner) ?? OwnerProcess.Running,
			inheritedLeaseEnd: () => this.inheritedLeaseEnd,
			inheritedArrivalEnd: () => this.inheritedLeaseEnd - (leaseExpiry(0, harnessTiming) - harnessTiming.transitMs),
		}, map, isInherited);
	}

	/** Ticks every 100 ms of the manual clock and calls `check` after each tick. */
	async run(ms: number, check: (harness: OwnershipHarness) => void = () => undefined): Promise<void> {
		for (let passed = 0; passed < ms; passed += 100) {
			this.manager.tick({owners: this.owners, rates: () => this.rates, mayMove: this.mayMove});
			// Calls to targets and writes complete within the tick.
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			check(this);
			this.clock.advance(100);
		}
	}

	/** Returns the owner to which requests for a key are routed; empty if there is none. */
	openOwner(key: number): string {
		for (const [name, range] of this.manager.ranges()) {
			const from = Number(name.split('/')[2]);
			if (key >= from && key <= range.to) {
				return range.isOpen ? range.owner : '';
			}
		}

		return '';
	}
}

/** Returns a check that no key has more than one holder. */
export function createHolderCheck(t: {true: (value: boolean, message?: string) => unknown}): (harness: OwnershipHarness) => void {
	return harness => {
		for (const key of checkedKeys) {
			t.true(harness.control.ownersOfKey(key).length <= 1, `key ${key}: ${harness.control.ownersOfKey(key).join(' ')}`);
		}
	};
}
