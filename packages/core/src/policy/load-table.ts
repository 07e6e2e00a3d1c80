/** Service times after which the last report counts for little against the mean of the reports. */
const fadeServiceTimes = 2;

/** Shortest time in which a report loses most of its weight, in milliseconds. */
const minFadeMs = 1;

/** Weight of a report in the mean of the reports. */
const meanWeight = 0.1;

/** Load of a target as its steward measured it, carried on every answer. */
export type LoadReport = {
	readonly inFlight: number;
	readonly queued: number;
	/** Requests that the target may run at the moment. */
	readonly limit: number;
	/** Typical time that the target takes for a request, in milliseconds. */
	readonly serviceMs: number;
};

type Row = {
	own: number;
	report?: LoadReport;
	othersAtReport: number;
	/** Mean of the reported requests of others. */
	othersMean: number;
	reportedAt: number;
};

/**
 * What this instance knows of the load of each target: its own outstanding requests, exactly,
 * and those of others by the last report, which fades towards the mean of the reports
 * within a few service times, since it says nothing about later requests.
 */
export class LoadTable {
	private readonly rows = new Map<string, Row>();

	/** Counts a request that this instance sent. */
	begin(target: string): void {
		this.row(target).own += 1;
	}

	/** Counts the end of a request that this instance sent. */
	end(target: string): void {
		const row = this.row(target);
		row.own = Math.max(0, row.own - 1);
	}

	/** Takes a report; call it before `end` for the answer that carried it. */
	applyReport(target: string, report: LoadReport, now: number): void {
		const row = this.row(target);
		const others = Math.max(0, report.inFlight + report.queued - row.own);
		row.othersMean = row.report === undefined ? others : row.othersMean + ((others - row.othersMean) * meanWeight);
		row.othersAtReport = others;
		row.report = report;
		row.reportedAt = now;
	}

	/** Expected number of requests at the target, waiting ones included. */
	load(target: string, now: number): number {
		const row = this.rows.get(target);
		if (row === undefined) {
			return 0;
		}

		const fade = Math.max(minFadeMs, (row.report?.serviceMs ?? 0) * fadeServiceTimes);
		const weight = Math.exp((row.reportedAt - now) / fade);
		return row.own + row.othersMean + ((row.othersAtReport - row.othersMean) * weight);
	}

	/** The last report of a target. */
	lastReport(target: string): LoadReport | undefined {
		return this.rows.get(target)?.report;
	}

	/** Forgets a target that left. */
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
