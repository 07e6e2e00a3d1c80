/** Which domains an instance selects for requests that any target of a service may run. */
export enum BalancingMode {
	/** As with `TwoChoices` while a route of the configuration has large answers, else as with `OwnDomain`. */
	Auto = 'auto',
	/** The better of two domains drawn by their free capacity, once the own domain is busy. */
	TwoChoices = 'two-choices',
	/** The domain with the lowest wait that this instance observed, once the own domain is busy. */
	OwnDomain = 'own-domain',
}
