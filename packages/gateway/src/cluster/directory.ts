import {z} from 'zod';
import type {KeyedLog} from '../ports/index.js';
import type {NodeInfo} from '../view/index.js';

/** Topic in which the instances find each other. */
const topic = 'keyed.bluebellyard-nodes';

const nodeSchema = z.object({
	name: z.string(), incarnation: z.string(), domain: z.string(), addr: z.string(), cores: z.number().positive().default(1),
});

/** Instances that ever started, by their own word. */
export class Directory {
	private readonly log: KeyedLog;
	constructor(log: KeyedLog) {
		this.log = log;
	}

	/** Writes the entry of this instance. */
	async announce(node: NodeInfo): Promise<void> {
		await this.log.append(topic, node.name, JSON.stringify(node));
	}

	/** Reads all entries. */
	async list(): Promise<NodeInfo[]> {
		const {records} = await this.log.list(topic);
		return records.map(({value}) => nodeSchema.parse(JSON.parse(value)));
	}
}
