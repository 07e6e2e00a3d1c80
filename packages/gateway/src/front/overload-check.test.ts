import {getActiveResourcesInfo} from 'node:process';
import test from 'ava';
import {ErrorKind, ManualClock, systemClock} from '@bluebellyard/core';
import {configureLogging} from '@bluebellyard/router/logging';
import {createConfiguredView} from '../mocks/index.js';
import {Telemetry} from '../telemetry/index.js';
import {createOverloadCheck, OverloadCheck} from './overload-check.js';

const route = createConfiguredView().routes.match('a.example', '/')!;
const estimateWorkMs = () => 100;

function countTimers(): number {
	return getActiveResourcesInfo().filter(name => name === 'Timeout').length;
}

// An instance that is not configured for it must not pay for the timer.
test.serial('the check runs only on instances with fewer cores than set, and only then a timer', t => {
	const options = {clock: systemClock, telemetry: new Telemetry(new ManualClock()), estimateWorkMs};
	const before = countTimers();
	for (const [cores, minCores] of [[0.203, 0], [1, 0.25], [0.25, 0.25]]) {
		const check = createOverloadCheck(cores, minCores, options);
		check?.start();
		t.is(check, undefined);
	}

	t.is(countTimers(), before);
	const check = createOverloadCheck(0.203, 0.25, options);
	check?.start();
	t.is(countTimers(), before + 1);
	check?.stop();
	t.is(countTimers(), before);
});

test.serial('rejections are counted by route and logged once at their start and end', async t => {
	const lines: string[] = [];
	configureLogging({
		write(line) {
			lines.push(line);
		},
	});
	const clock = new ManualClock();
	const telemetry = new Telemetry(clock);
	const check = new OverloadCheck({clock, telemetry, estimateWorkMs});
	t.is(check.check(route, route.priority, 2000), undefined);
	clock.advance(400);
	const rejections = [1, 2, 3].map(() => check.check(route, route.priority, 2000));
	for (const rejection of rejections) {
		t.like(rejection, {hasReturned: false, result: {error: ErrorKind.InstanceBusy, isNotRun: true, retryAfterMs: 380}});
	}

	t.is(lines.filter(line => line.includes('short of CPU time')).length, 1);
	t.regex(await telemetry.metrics.text(), /bluebellyard_overload_rejections_total\{route="r"\} 3/v);
	check.start();
	t.teardown(() => {
		check.stop();
	});
	clock.advance(2000);
	await new Promise(resolve => {
		setTimeout(resolve, 200);
	});
	t.is(lines.filter(line => line.includes('rejects no more requests')).length, 1);
	// For the timer, which was called once in these 2 s, that is a delay again.
	t.is(check.check(route, route.priority, 2000)?.result.error, ErrorKind.InstanceBusy);
	t.is(lines.filter(line => line.includes('short of CPU time')).length, 2);
});
