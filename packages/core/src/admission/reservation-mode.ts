/** Whether queues reserve capacity for callers that they reject. */
export enum ReservationMode {
	/** As with `On` while a route of the configuration has large answers, else as with `Off`. */
	Auto = 'auto',
	On = 'on',
	Off = 'off',
}
