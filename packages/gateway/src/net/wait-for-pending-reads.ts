/**
 * Resolves when the event loop has read all data that arrived before the call, so that closed connections are known.
 * The end of a connection is read one turn after its last bytes, hence two turns.
 */
export async function waitForPendingReads(): Promise<void> {
	for (let turn = 0; turn < 2; turn += 1) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
