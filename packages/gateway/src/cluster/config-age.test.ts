/** Guards against a configuration that counts as the newest one because its leader is heard or reads other records. */
import test from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {createConfiguredView} from '../mocks/create-config.js';
import {Telemetry} from '../telemetry/index.js';
import {ConfigAge, ConfigSource} from './config-age.js';

function setUp(): {clock: ManualClock; age: ConfigAge} {
	const clock = new ManualClock(10_000);
	return {clock, age: new ConfigAge({view: createConfiguredView(), clock, telemetry: new Telemetry(clock)})};
}

test('the age grows while the leader is heard and states no reading', t => {
	const {clock, age} = setUp();
	age.confirm(10_000, ConfigSource.Leader);
	clock.advance(3000);
	age.confirm(undefined, ConfigSource.Leader);
	t.is(age.ms, 3000);
});

test('the newest reading counts, from whichever source', t => {
	const {clock, age} = setUp();
	clock.advance(3000);
	age.confirm(12_500, ConfigSource.Store);
	age.confirm(11_000, ConfigSource.Leader);
	t.is(age.ms, 500);
});
