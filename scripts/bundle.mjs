/**
 * Bundles the gateway for the platform into `target/`, directly from the sources of the workspace.
 */
import {build} from 'esbuild';

const packages = ['coordination', 'core', 'gateway'];

await build({
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/bluebellyard.mjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	sourcemap: 'linked',
	// Reduces parse time at startup, where only a fraction of a CPU core is available. Names stay readable.
	minifyWhitespace: true,
	minifySyntax: true,
	alias: {
		'@bluebellyard/router/logging': './packages/router/src/logging/index.ts',
		...Object.fromEntries(packages.map(name => [`@bluebellyard/${name}`, `./packages/${name}/src/index.ts`])),
	},
	// Some CommonJS dependencies call `require` for built-in modules of Node.js.
	banner: {js: 'import {createRequire as createRequireOf} from \'node:module\'; const require = createRequireOf(import.meta.url);'},
	logLevel: 'warning',
});
