import type {MetricsSettings} from '../settings/index.js';
import type {Counters} from './counters.js';
import {MemoryCounters} from './memory-counters.js';
import {StatsdCounters} from './statsd-counters.js';

/** Creates the counters that the settings select. `onError` is called for each failed send. */
export function createCounters(cfg: MetricsSettings, onError?: (err: Error) => void): Counters {
	if (!cfg.statsd) {
		return new MemoryCounters();
	}

	return new StatsdCounters({...cfg.statsd, prefix: `${cfg.prefix}.`, onError});
}
