import {z} from 'zod';
import type {KeyedLog} from '../ports/index.js';
import type {NodeInfo} from '../view/index.js';

/** Topic in which the instances register themselves. */
const topic = 'keyed.bluebellyard-nodes';

const nodeSchema = z.object({
	name: z.string(), incarnation: z.string(), domain: z.string(), addr: z.string(), cores: z.number().positive().default(1), linkMbps: z.number().positive().optional(),
});

/** Register of all instances that ever started; each one writes its own entry. */
export class Directory {
	private readonly log: KeyedLog;
	private lastEra: number | undefined;

	constructor(log: KeyedLog) {
		this.log = log;
	}

	/** Era of the store in which `announce` last wrote an entry; undefined before that. A later era may lack the entry. */
	get announcedEra(): number | undefined {
		return this.lastEra;
	}

	/** Writes the entry of this instance. */
	async announce(node: NodeInfo): Promise<void> {
		const {era} = await this.log.append(topic, node.name, JSON.stringify(node));
		this.lastEra = Math.max(era, this.lastEra ?? 0);
	}

	/** Reads all entries. */
	async list(): Promise<NodeInfo[]> {
		const {records} = await this.log.list(topic);
		return records.map(({value}) => nodeSchema.parse(JSON.parse(value)));
	}
}
