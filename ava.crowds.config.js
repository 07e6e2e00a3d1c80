import config from './ava.config.js';

/** Tests that measure processes of the system: one at a time, after all others. */
const crowds = {
	...config,
	files: ['packages/*/dist/crowds/*.test.js', 'platform/dist/crowds/*.test.js'],
	concurrency: 1,
	serial: true,
	timeout: '300s',
};

export default crowds;
