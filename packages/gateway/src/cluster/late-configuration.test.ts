/** Guards against a configuration that is late at an instance that reaches the store, since its leader or the way to it is disturbed. */
import test from 'ava';
import {configureLogging, LogFormat} from '@bluebellyard/router/logging';
import {disturbances, playDisturbance} from '../mocks/cluster-disturbances.js';

configureLogging({
	format: LogFormat.Json,
	write() {
		// Thousands of lines about instances that do not answer.
	},
});

/** Time from the acknowledgement of a configuration by which it must be in force, in milliseconds: the bound of small deployments. */
const maxDelayMs = 2000;

for (const disturbance of disturbances) {
	test.serial(`a configuration is in force in time although ${disturbance.title}`, async t => {
		const delays = await playDisturbance(t, disturbance, async (cluster, observed) => cluster.measure(2, observed));
		t.true(Math.max(...delays) < maxDelayMs);
	});
}
