import type {FleetInstance} from './fleet-instance.js';

/** Demand of callers for a played fleet. */
export class FleetDemand {
	private cumulative: number[] = [];

	private readonly instances: readonly FleetInstance[];
	private readonly random: () => number;

	constructor(instances: readonly FleetInstance[], random: () => number) {
		this.instances = instances;
		this.random = random;
	}

	/** Moves the demand of each instance to the one at the other end of the list, so that most of it changes its place. */
	shift(): void {
		const sorted = [...this.instances].toSorted((a, b) => a.weight - b.weight);
		const weights = sorted.map(({weight}) => weight).toReversed();
		for (const [i, instance] of sorted.entries()) {
			instance.weight = weights[i];
		}

		this.spread();
	}

	/** Spreads the demand over the instances that run. */
	spread(): void {
		let sum = 0;
		this.cumulative = this.instances.map(({isUp, weight}) => {
			sum += isUp ? weight : 0;
			return sum;
		});
	}

	/** Returns the instance that receives the next request. */
	pick(): FleetInstance {
		const value = this.random() * this.cumulative.at(-1)!;
		let low = 0;
		let high = this.cumulative.length - 1;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.cumulative[middle] > value) {
				high = middle;
			} else {
				low = middle + 1;
			}
		}

		return this.instances[low];
	}

	/** Draws a number of arrivals by the Poisson distribution. */
	draw(mean: number): number {
		const limit = Math.exp(-mean);
		let product = this.random();
		let n = 0;
		while (product > limit) {
			product *= this.random();
			n += 1;
		}

		return n;
	}
}
