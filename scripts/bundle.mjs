/**
 * Bundles the gateway for the platform into `target/`, straight from the sources of the workspace.
 */
import {build} from 'esbuild';

const workspace = ['coordination', 'core', 'gateway'];

await build({
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/bluebellyard.mjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	sourcemap: 'linked',
	// Less to parse at a start, on a part of a core; names stay readable.
	minifyWhitespace: true,
	minifySyntax: true,
	alias: {
		'@bluebellyard/router/logging': './packages/router/src/logging/index.ts',
		...Object.fromEntries(workspace.map(name => [`@bluebellyard/${name}`, `./packages/${name}/src/index.ts`])),
	},
	// Some CommonJS dependencies call `require` for modules of Node.
	banner: {js: 'import {createRequire as createRequireOf} from \'node:module\'; const require = createRequireOf(import.meta.url);'},
	logLevel: 'warning',
});
