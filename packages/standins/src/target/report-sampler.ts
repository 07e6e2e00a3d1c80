import {LaggedValue} from '../host/index.js';

/** State that a target reports about itself. */
export type Report = {
	readonly healthy: boolean;
	readonly cold: boolean;
	readonly running: number;
	readonly slots: number;
	readonly incarnation: string;
};

const samplePeriodMs = 20;

/** Samples a target's reports at a fixed period and returns them with a lag. */
export class ReportSampler {
	private readonly samples: LaggedValue<Report>;
	private timer: NodeJS.Timeout | undefined;

	constructor(
		private readonly createReport: () => Report,
		private readonly now: () => number,
		private readonly lagMs: number,
	) {
		this.samples = new LaggedValue(createReport(), now());
	}

	/** Starts sampling. */
	start(): void {
		this.timer = setInterval(() => {
			const now = this.now();
			this.samples.set(this.createReport(), now);
			this.samples.trim(now, this.lagMs);
		}, samplePeriodMs);
	}

	/** Stops sampling. */
	stop(): void {
		clearInterval(this.timer);
	}

	/** Returns the report as it was `lagMs` ago. */
	read(): Report {
		return this.lagMs === 0 ? this.createReport() : this.samples.read(this.now(), this.lagMs);
	}
}
