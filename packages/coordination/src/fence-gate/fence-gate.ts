/** Checks fencing tokens: rejects any that is older than the newest one seen for its resource. */
export class FenceGate {
	private readonly newestFences = new Map<string, number>();

	/** Returns whether work with this fence may run. Records the fence as the newest one if it may. */
	admit(resource: string, fence: number): boolean {
		const newest = this.newestFences.get(resource);
		if (newest !== undefined && fence < newest) {
			return false;
		}

		this.newestFences.set(resource, fence);
		return true;
	}

	/** Returns the newest fence seen for the resource, if any. */
	fence(resource: string): number | undefined {
		return this.newestFences.get(resource);
	}
}
