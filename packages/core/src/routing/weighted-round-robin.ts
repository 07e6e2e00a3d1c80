import type {WeightedService} from './model.js';

/** Distributes requests among services in the proportions of their weights, evenly over time. */
export class WeightedRoundRobin {
	private readonly credits = new Map<string, number>();

	/** The service of the next request. */
	next(services: readonly WeightedService[]): string {
		if (services.length === 1) {
			return services[0].service;
		}

		let best = services[0].service;
		let total = 0;
		for (const {service, weight} of services) {
			total += weight;
			this.credits.set(service, (this.credits.get(service) ?? 0) + weight);
			if (this.credits.get(service)! > (this.credits.get(best) ?? 0)) {
				best = service;
			}
		}

		this.credits.set(best, this.credits.get(best)! - total);
		return best;
	}
}
