import {FakeLog} from '@bluebellyard/coordination/mocks';
import {
	encodeRecord, createRecord, ManualClock, RecordKind,
} from '@bluebellyard/core';
import {type Host, runCtl} from '../app.js';
import {type Explanation, InstanceClient, type InstanceStatus} from '../platform/index.js';

const writer = 'i1#1';

/** Fake instances whose configuration a test sets; addresses without one do not answer. */
export class FakeInstanceClient extends InstanceClient {
	/** Offset of the configuration in force, by control address. */
	readonly configs = new Map<string, number>();
	/** Called before each status query. */
	beforeStatus?: () => void;

	override async fetchStatus(address: string): Promise<InstanceStatus> {
		this.beforeStatus?.();
		const config = this.configs.get(address);
		if (config === undefined) {
			throw new Error('no answer');
		}

		return {
			instance: `i-${address}#1`, domain: 'a', folded: config, config, ready: true, targets: [], instances: [],
		};
	}

	override async fetchExplanation(address: string, method: string, path: string): Promise<Explanation> {
		if (!this.configs.has(address)) {
			throw new Error('no answer');
		}

		return {method, path, owner: 't1'};
	}
}

/** Runs commands against a log, instances and files in memory. */
export class FakeHost {
	readonly log = new FakeLog();
	readonly instances = new FakeInstanceClient();
	readonly clock = new ManualClock();
	readonly files = new Map<string, string>();
	stdout = '';
	stderr = '';
	private nextId = 0;

	/** Appends the record of an instance with the control address `10.0.0.1:1` that joins. */
	addInstance(): void {
		this.appendForeign({
			kind: RecordKind.Join,
			instance: writer,
			name: 'i1',
			domain: 'a',
			peerAddr: '10.0.0.1:3',
			internalAddr: '10.0.0.1:2',
			controlAddr: '10.0.0.1:1',
		});
	}

	/** Appends a record that admits targets, given as `domain/name`, to the pool `p`. */
	addTargets(...targets: readonly string[]): void {
		const rows = targets.map(target => {
			const [domain, name] = target.split('/');
			return {
				name, domain, pool: 'p', addr: '10.0.0.1:1',
			};
		});
		this.appendForeign({kind: RecordKind.Admit, targets: rows});
	}

	/** Appends a configuration of another operator; returns its offset. */
	addConfig(text: string, base: number): number {
		return this.appendForeign({kind: RecordKind.Config, base, text});
	}

	/** Runs one command; resets `stdout` and `stderr` before. */
	async run(...argv: readonly string[]): Promise<number> {
		this.stdout = '';
		this.stderr = '';
		return runCtl(argv, this.host());
	}

	private appendForeign(body: Parameters<typeof createRecord>[0]): number {
		return this.log.foreign(encodeRecord(createRecord(body, `other-${this.log.next}`, writer)));
	}

	private host(): Host {
		return {
			version: '1.2.3',
			writeOutput: text => {
				this.stdout += text;
			},
			writeError: text => {
				this.stderr += text;
			},
			readFile: path => this.files.get(path) ?? '',
			open: options => ({
				context: {
					log: this.log,
					instanceClient: this.instances,
					instances: options.instances,
					clock: this.clock,
					timeoutMs: options.timeout,
					sleep: async ms => {
						this.clock.advance(ms);
					},
					createRecordId: () => `id-${this.nextId++}`,
					operator: 'operator:test',
				},
				async close() {
					// Nothing is open.
				},
			}),
		};
	}
}
