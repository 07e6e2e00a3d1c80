import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {BoundedLabels} from './bounded-labels.js';

/** Upper bounds of the latency buckets, in seconds; they range from a fast answer to the longest deadline. */
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/** Largest number of teams with a label of their own. */
const maxTeamLabels = 128;

/** Counters, gauges and histograms of one instance. */
export class Metrics {
	readonly registry = new Registry();

	readonly requests = new Counter({
		name: 'bluebellyard_requests_total',
		help: 'Requests of callers by result: a status class, a refusal or failure kind.',
		labelNames: ['result'],
		registers: [this.registry],
	});

	readonly answers = new Counter({
		name: 'bluebellyard_answers_total',
		help: 'Answers of targets that were returned to callers, by how the target stated their end: no-body, length, chunks, close or unsupported; unknown from instances of an earlier version.',
		labelNames: ['framing'],
		registers: [this.registry],
	});

	readonly unverifiedAnswers = new Counter({
		name: 'bluebellyard_unverified_answers_total',
		help: 'Answers of targets that are not proved to be whole and count as none, by reason: unsupported-framing, wrong-length, connection-lost or later-answer.',
		labelNames: ['reason'],
		registers: [this.registry],
	});

	readonly retries = new Counter({
		name: 'bluebellyard_retries_total',
		help: 'Requests sent once more, by the failure before.',
		labelNames: ['reason'],
		registers: [this.registry],
	});

	readonly retriesDenied = new Counter({
		name: 'bluebellyard_retries_denied_total',
		help: 'Failed requests that were not sent once more although a retry might have succeeded, by reason.',
		labelNames: ['reason'],
		registers: [this.registry],
	});

	readonly retryBudgetScarce = new Gauge({
		name: 'bluebellyard_retry_budget_scarce',
		help: '1 while the retry budget of a service is too small for all requests that may be retried, so that it goes to selected ones.',
		labelNames: ['service'],
		registers: [this.registry],
	});

	readonly returns = new Counter({
		name: 'bluebellyard_returns_total',
		help: 'Requests of callers that had been refused before, by result: answered, refused or failed.',
		labelNames: ['result'],
		registers: [this.registry],
	});

	readonly reservations = new Counter({
		name: 'bluebellyard_reservations_total',
		help: 'Reservations of capacity for rejected callers, in dispatch queues of this instance: made, used or expired.',
		labelNames: ['result'],
		registers: [this.registry],
	});

	readonly limitedSends = new Counter({
		name: 'bluebellyard_limited_sends_total',
		help: 'Requests sent to targets while a limit that they named is known, by the role of this instance: steward or other.',
		labelNames: ['role'],
		registers: [this.registry],
	});

	readonly pauses = new Counter({
		name: 'bluebellyard_target_pauses_total',
		help: 'Refusals in which a target asked this instance to send nothing for a time.',
		registers: [this.registry],
	});

	readonly crashes = new Counter({
		name: 'bluebellyard_target_crashes_total',
		help: 'Targets that ended while requests of this instance ran there, by what told so: refused or removed.',
		labelNames: ['evidence'],
		registers: [this.registry],
	});

	readonly quarantined = new Gauge({
		name: 'bluebellyard_quarantined_requests',
		help: 'Requests that no target may run, since targets end when they do; leader only.',
		registers: [this.registry],
	});

	readonly trials = new Counter({
		name: 'bluebellyard_trials_total',
		help: 'Requests under which targets ended before, by what became of them: answered, not-sent, not-run, unknown, or refused without a trial.',
		labelNames: ['result'],
		registers: [this.registry],
	});

	readonly domainChoices = new Counter({
		name: 'bluebellyard_domain_choices_total',
		help: 'Failure domains selected for requests of shared services, while the mode is two-choices: own, first or second of two candidates.',
		labelNames: ['result'],
		registers: [this.registry],
	});

	readonly queueStateAge = new Gauge({
		name: 'bluebellyard_queue_state_age_seconds',
		help: 'Age of the state of the queue by which a failure domain was last selected.',
		registers: [this.registry],
	});

	/** Values of the label `team`. */
	readonly teamLabels = new BoundedLabels(maxTeamLabels);

	readonly teamRequests = new Counter({
		name: 'bluebellyard_team_requests_total',
		help: 'Requests received here with the key of a team, by team and result: admitted, or rejected over its limit.',
		labelNames: ['team', 'result'],
		registers: [this.registry],
	});

	readonly unknownKeys = new Counter({
		name: 'bluebellyard_unknown_keys_total',
		help: 'Requests rejected since they had no key of a team.',
		registers: [this.registry],
	});

	readonly moves = new Counter({
		name: 'bluebellyard_key_moves_total',
		help: 'Ranges of keys that changed their owner.',
		registers: [this.registry],
	});

	readonly storeCalls = new Counter({
		name: 'bluebellyard_store_calls_total',
		help: 'Calls to the platform\'s store by kind and outcome.',
		labelNames: ['call', 'outcome'],
		registers: [this.registry],
	});

	readonly storeEra = new Gauge({
		name: 'bluebellyard_store_era',
		help: 'Number of the history of the platform\'s store; rises when the store returns from an older copy.',
		registers: [this.registry],
	});

	readonly revocations = new Counter({
		name: 'bluebellyard_revocations_total',
		help: 'Ranges that a former owner certainly holds no longer, by reason: released, lease-expired or process-ended.',
		labelNames: ['reason'],
		registers: [this.registry],
	});

	readonly unknownKinds = new Counter({
		name: 'bluebellyard_unknown_request_kinds_total',
		help: 'Routes of received configurations whose kind of requests is unknown to this program, so that they are treated as not idempotent.',
		registers: [this.registry],
	});

	readonly refusedGrants = new Counter({
		name: 'bluebellyard_refused_grants_total',
		help: 'Grants that targets refused, by reply.',
		labelNames: ['reply'],
		registers: [this.registry],
	});

	readonly logLinesDropped = new Gauge({
		name: 'bluebellyard_log_lines_dropped',
		help: 'Log lines lost because standard output was not read, or by the rate limit.',
		registers: [this.registry],
	});

	readonly latency = new Histogram({
		name: 'bluebellyard_request_seconds',
		help: 'Time from the arrival of a request to its answer.',
		labelNames: ['route'],
		buckets: latencyBuckets,
		registers: [this.registry],
	});

	readonly queueWait = new Histogram({
		name: 'bluebellyard_queue_seconds',
		help: 'Time that a request waited for a slot at the instance in charge.',
		buckets: latencyBuckets,
		registers: [this.registry],
	});

	readonly delay = new Gauge({
		name: 'bluebellyard_delay_seconds',
		help: 'Time that work waits for CPU time in this process, while the admission check is on.',
		registers: [this.registry],
	});

	readonly overloadRejections = new Counter({
		name: 'bluebellyard_overload_rejections_total',
		help: 'Requests that the admission check rejected because this instance is short of CPU time, by route.',
		labelNames: ['route'],
		registers: [this.registry],
	});

	readonly stewardSlots = new Gauge({
		name: 'bluebellyard_steward_slots',
		help: 'Slots of the targets to which this instance sends work as steward, while the configuration has routes with large responses, by responses: large or other.',
		labelNames: ['responses'],
		registers: [this.registry],
	});

	readonly directRequests = new Counter({
		name: 'bluebellyard_direct_requests_total',
		help: 'Requests that a steward permitted this instance to send to the target itself, by result: answered, failed, late, or unreached and sent through the steward.',
		labelNames: ['result'],
		registers: [this.registry],
	});

	readonly directPermits = new Counter({
		name: 'bluebellyard_direct_permits_total',
		help: 'Permits that this instance gave as steward, by what ended them: report, link or deadline.',
		labelNames: ['end'],
		registers: [this.registry],
	});

	readonly queued = new Gauge({
		name: 'bluebellyard_queued',
		help: 'Requests that wait for a slot at this instance.',
		registers: [this.registry],
	});

	readonly inFlight = new Gauge({
		name: 'bluebellyard_in_flight',
		help: 'Requests at targets, sent by this instance.',
		registers: [this.registry],
	});

	readonly viewAge = new Gauge({
		name: 'bluebellyard_view_age_seconds',
		help: 'Time since the leader was last heard.',
		registers: [this.registry],
	});

	readonly leads = new Gauge({
		name: 'bluebellyard_leads',
		help: '1 on the instance that leads, else 0.',
		registers: [this.registry],
	});

	readonly configVersion = new Gauge({
		name: 'bluebellyard_config_version',
		help: 'Version of the configuration that is active on this instance; 0 before the first one.',
		registers: [this.registry],
	});

	readonly configAge = new Gauge({
		name: 'bluebellyard_config_age_seconds',
		help: 'Time since the configuration of this instance was last known to be the newest one in the store.',
		registers: [this.registry],
	});

	readonly directReads = new Counter({
		name: 'bluebellyard_direct_reads_total',
		help: 'Times at which this instance began to read the operators\' records in the store, as its leader did not tell in time what they are.',
		registers: [this.registry],
	});

	readonly configPending = new Gauge({
		name: 'bluebellyard_config_pending_instances',
		help: 'Instances that have not confirmed the newest configuration to this instance as leader.',
		registers: [this.registry],
	});

	readonly wholeViews = new Counter({
		name: 'bluebellyard_whole_views_total',
		help: 'Whole views that this instance sent as leader, to instances whose state differs too much for changes.',
		registers: [this.registry],
	});

	readonly cutOffInstances = new Gauge({
		name: 'bluebellyard_cut_off_instances',
		help: '1 for each instance that is cut off from all targets, as this instance knows it.',
		labelNames: ['instance'],
		registers: [this.registry],
	});

	readonly targetsOutOfReach = new Gauge({
		name: 'bluebellyard_targets_out_of_reach',
		help: 'Targets that this instance does not reach: all if it is cut off, else those without a response since their last failure.',
		labelNames: ['domain'],
		registers: [this.registry],
	});

	/** Returns all metrics in the Prometheus text format. */
	async text(): Promise<string> {
		return this.registry.metrics();
	}
}
