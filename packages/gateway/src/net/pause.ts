/** Waits for a time in milliseconds. */
export async function pause(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
