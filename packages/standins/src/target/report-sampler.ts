import {LaggedValue} from '../host/index.js';

/** What a target reports of itself. */
export type Report = {
	readonly healthy: boolean;
	readonly cold: boolean;
	readonly running: number;
	readonly slots: number;
	readonly incarnation: string;
};

const samplePeriodMs = 20;

/** Lagging self-reports, sampled at a fixed period. */
export class ReportSampler {
	private readonly samples: LaggedValue<Report>;
	private timer: NodeJS.Timeout | undefined;

	constructor(
		private readonly sample: () => Report,
		private readonly now: () => number,
		private readonly lagMs: number,
	) {
		this.samples = new LaggedValue(sample(), now());
	}

	/** Begins to sample. */
	start(): void {
		this.timer = setInterval(() => {
			const now = this.now();
			this.samples.set(this.sample(), now);
			this.samples.trim(now, this.lagMs);
		}, samplePeriodMs);
	}

	/** Ends sampling. */
	stop(): void {
		clearInterval(this.timer);
	}

	/** The report as it was before the lag. */
	read(): Report {
		return this.lagMs === 0 ? this.sample() : this.samples.read(this.now(), this.lagMs);
	}
}
