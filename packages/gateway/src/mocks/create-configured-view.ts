import {Repeat} from '@bluebellyard/core';
import {View} from '../view/index.js';

/** Returns the view of a configuration with one route: host `a.example`, objective 500 ms, priority 1. */
export function createConfiguredView(): View {
	const view = new View();
	view.setConfig({
		version: 1,
		routes: [{
			name: 'r', host: 'a.example', prefix: '/', repeat: Repeat.Idempotent, timeoutMs: 2000, objectiveMs: 500, priority: 1, maxTargets: 1, services: [{service: 's', weight: 1}],
		}],
		services: [],
		limits: {
			headerBytes: 1000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
		},
	});
	return view;
}
