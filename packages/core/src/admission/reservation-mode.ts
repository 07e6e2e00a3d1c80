/** Whether queues reserve capacity for callers that they reject. */
export enum ReservationMode {
	/** As with `Off`, unless the contracts of the platform turn it on. */
	Auto = 'auto',
	On = 'on',
	Off = 'off',
}
