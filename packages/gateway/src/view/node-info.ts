/** One instance of the gateway. */
export type NodeInfo = {
	readonly name: string;
	/** Identifies one run of the process. */
	readonly incarnation: string;
	readonly domain: string;
	/** Address on which it accepts connections of other instances. */
	readonly addr: string;
	/** Processor time available to it, in cores. */
	readonly cores: number;
	/** Bandwidth of its network link, in Mbit/s; absent if unknown, and from instances of an earlier version. */
	readonly linkMbps?: number;
};
