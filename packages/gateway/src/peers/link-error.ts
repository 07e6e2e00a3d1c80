/** Thrown when a call gets no reply. */
export class LinkError extends Error {
	override readonly name = 'LinkError';

	/** `isSent` states whether the other side may have received the call; `ask` finds out whether it has. */
	constructor(message: string, readonly isSent: boolean, private readonly ask?: () => Promise<boolean>) {
		super(message);
	}

	/** Resolves to whether the other side has received the call, or may still receive it; also true if it can't be asked. */
	async wasReceived(): Promise<boolean> {
		return this.isSent && (await this.ask?.() ?? true);
	}
}

/** Returns whether an error of a call to another instance proves that the call was not sent. */
export function isUnsent(err: unknown): boolean {
	return err instanceof LinkError && !err.isSent;
}
