/** Time constant, in service times, with which the last report decays to the mean of the reports. */
const fadeServiceTimes = 2;

/** Lower bound of that time constant, in milliseconds. */
const minFadeMs = 1;

/** Weight of a new report in the mean of the reports. */
const meanWeight = 0.1;

/** Load of a target as measured by its steward; every answer carries one. */
export type LoadReport = {
	readonly inFlight: number;
	readonly queued: number;
	/** Requests that the target may run concurrently at present. */
	readonly limit: number;
	/** Typical service time of the target, in milliseconds. */
	readonly serviceMs: number;
};

type Row = {
	own: number;
	report?: LoadReport;
	othersAtReport: number;
	/** Mean of the reported requests of other instances. */
	othersMean: number;
	reportedAt: number;
};

/**
 * Load of each target as known to this instance: the exact number of its own outstanding requests, and an
 * estimate of those of other instances. The estimate starts at the last report and decays to the mean of the
 * reports within a few service times, since a report says nothing about later requests.
 */
export class LoadTable {
	private readonly rows = new Map<string, Row>();

	/** Records that this instance sent a request. */
	begin(target: string): void {
		this.row(target).own += 1;
	}

	/** Records the end of a request that this instance sent. */
	end(target: string): void {
		const row = this.row(target);
		row.own = Math.max(0, row.own - 1);
	}

	/** Applies a report; must be called before `end` for the answer that carried it. */
	applyReport(target: string, report: LoadReport, now: number): void {
		const row = this.row(target);
		const others = Math.max(0, report.inFlight + report.queued - row.own);
		row.othersMean = row.report === undefined ? others : row.othersMean + ((others - row.othersMean) * meanWeight);
		row.othersAtReport = others;
		row.report = report;
		row.reportedAt = now;
	}

	/** Returns the expected number of requests at the target, waiting ones included. */
	load(target: string, now: number): number {
		const row = this.rows.get(target);
		if (row === undefined) {
			return 0;
		}

		const fade = Math.max(minFadeMs, (row.report?.serviceMs ?? 0) * fadeServiceTimes);
		const weight = Math.exp((row.reportedAt - now) / fade);
		return row.own + row.othersMean + ((row.othersAtReport - row.othersMean) * weight);
	}

	/** Returns the last report of a target; undefined when there is none. */
	lastReport(target: string): LoadReport | undefined {
		return this.rows.get(target)?.report;
	}

	/** Removes a target that left. */
	remove(target: string): void {
		this.rows.delete(target);
	}

	private row(target: string): Row {
		const known = this.rows.get(target);
		if (known !== undefined) {
			return known;
		}

		const row: Row = {
			own: 0, othersAtReport: 0, othersMean: 0, reportedAt: 0,
		};
		this.rows.set(target, row);
		return row;
	}
}
