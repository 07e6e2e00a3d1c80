import {Repeat} from '@bluebellyard/core';
import type {GatewayConfig} from '../ports/index.js';
import {View} from '../view/index.js';

/** Returns a configuration with a route `r` of all paths and a public route `p` of `/public/`, both of host `a.example`. */
export function createConfig(version: number, teams: Pick<GatewayConfig, 'teams' | 'teamKeys'> = {}): GatewayConfig {
	const route = {
		name: 'r', host: 'a.example', prefix: '/', repeat: Repeat.Idempotent, timeoutMs: 2000, objectiveMs: 500, priority: 1, maxTargets: 1, services: [{service: 's', weight: 1}],
	};
	return {
		version,
		routes: [route, {
			...route, name: 'p', prefix: '/public/', isPublic: true,
		}],
		services: [],
		limits: {
			headerBytes: 1000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
		},
		...teams,
	};
}

/** Returns the view of that configuration. */
export function createConfiguredView(): View {
	const view = new View();
	view.setConfig(createConfig(1));
	return view;
}
