import {
	BalancedSelector, BalancingMode, OwnDomainSelector, type DomainChoice, type DomainSelector,
} from '@bluebellyard/core';
import type {Telemetry} from '../telemetry/index.js';
import type {View} from '../view/index.js';

/** Options of a selector switch. */
export type SelectorSwitchOptions = {
	readonly mode: BalancingMode;
	readonly view: View;
	readonly telemetry: Telemetry;
};

/** Returns whether load is balanced by what is known of all queues and keys, as the setting and the active configuration ask for. */
export function isLoadBalanced(mode: BalancingMode, view: Pick<View, 'hasLargeAnswers'>): boolean {
	return mode === BalancingMode.TwoChoices || (mode === BalancingMode.Auto && view.hasLargeAnswers);
}

/** Provides the selector of domains that the setting and the active configuration ask for. */
export class SelectorSwitch {
	private readonly ownDomain = new OwnDomainSelector();
	private readonly balanced = new BalancedSelector();
	private wasBalanced = false;

	constructor(private readonly options: SelectorSwitchOptions) {
		this.logChange();
		options.view.onChange(() => {
			this.logChange();
		});
	}

	/** Whether domains are selected by two choices, so that the load of queues is told to other instances. */
	get isBalanced(): boolean {
		return isLoadBalanced(this.options.mode, this.options.view);
	}

	/** The selector to use at present. */
	get current(): DomainSelector {
		return this.isBalanced ? this.balanced : this.ownDomain;
	}

	/** Records the choice of a domain in the metrics. */
	recordChoice({kind, stateAgeMs}: DomainChoice): void {
		if (!this.isBalanced) {
			return;
		}

		const {metrics} = this.options.telemetry;
		metrics.domainChoices.inc({result: kind});
		if (stateAgeMs !== undefined) {
			metrics.queueStateAge.set(stateAgeMs / 1000);
		}
	}

	private logChange(): void {
		const {isBalanced} = this;
		if (isBalanced !== this.wasBalanced) {
			const {mode, view, telemetry} = this.options;
			this.wasBalanced = isBalanced;
			telemetry.info('balancing', 'The selection of domains changed.', {
				selection: isBalanced ? BalancingMode.TwoChoices : BalancingMode.OwnDomain, mode, version: view.configVersion,
			});
		}
	}
}
