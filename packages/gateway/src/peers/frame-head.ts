/** Kinds of frames on a link. */
export enum FrameKind {
	Call = 1,
	Reply = 2,
	Cancel = 3,
	Probe = 4,
	ProbeReply = 5,
	/** Names the link; the first frame of the side that opened it. */
	Hello = 6,
	/** The sender runs no further calls: `n` is the number of the last one that it runs. */
	Stop = 7,
	/** The sender had no memory for the body of a call, and does not run it. */
	Reject = 8,
}

/** Head of a frame. */
export type FrameHead = {
	readonly k: FrameKind;
	/** Number of the call on this link. */
	readonly n?: number;
	/** Name of the called operation. */
	readonly op?: string;
	/** Arguments or result. */
	readonly b?: unknown;
};
