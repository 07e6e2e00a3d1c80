/**
 * Bundles the gateway for the platform into `target/`, directly from the sources of the workspace, and makes the code cache with which the bundle is loaded.
 */
import {execFileSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {
	mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const outDir = 'target';
const name = 'bluebellyard';

/** Time after which the warm-up run is given up, in milliseconds; it takes about 9 s on an idle machine. */
const warmUpTimeoutMs = 60_000;

/** Characters of the digest in file names. */
const digestLength = 16;

const packages = ['coordination', 'core', 'gateway', 'http-client', 'standins'];

const options = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	// Reduces parse time at startup, where only a fraction of a CPU core is available. Names stay readable.
	minifyWhitespace: true,
	minifySyntax: true,
	alias: {
		'@bluebellyard/router/logging': './packages/router/src/logging/index.ts',
		...Object.fromEntries(packages.map(name => [`@bluebellyard/${name}`, `./packages/${name}/src/index.ts`])),
	},
	logLevel: 'warning',
};

/* eslint-disable require-unicode-regexp -- esbuild takes no flags */

/**
 * Modules of libraries that a gateway never uses and that cost CPU time to load: the HTTP/2 client (targets and the store
 * are called with HTTP/1.1), and metrics of the process, of worker processes and for a push gateway.
 */
const unusedModules = /(?:undici\/lib\/dispatcher\/client-h2|prom-client\/lib\/(?:pushgateway|cluster|defaultMetrics))\.js$/;

/** The optional native add-on of msgpackr. Loading it must fail as if it were not installed: msgpackr calls whatever it loads for each string, and a stand-in that throws then costs a tenth of a request. */
const nativeAddOn = /msgpackr-extract\/index\.js$/;

/** Replaces modules of libraries by smaller ones. */
const libraryParts = {
	name: 'library-parts',
	setup({onResolve, onLoad}) {
		onResolve({filter: /^undici$/}, () => ({path: path.resolve('platform/src/bundle/undici.mjs')}));
		onLoad({filter: nativeAddOn}, () => ({contents: 'throw new Error("not in the bundle");'}));
		onLoad({filter: unusedModules}, () => ({contents: 'module.exports = () => { throw new Error("not in the bundle"); };'}));
	},
};

/* eslint-enable require-unicode-regexp */

/** Options for ES modules. Some CommonJS dependencies call `require` for built-in modules of Node.js. */
const moduleOptions = {
	...options,
	format: 'esm',
	banner: {js: 'import {createRequire as createRequireOf} from \'node:module\'; const require = createRequireOf(import.meta.url);'},
};

/** Returns the flags of Node.js with which the platform runs the gateway. V8 accepts a code cache only if its flags are the same. */
function readRunFlags() {
	const command = /^run = "node (?<flags>.*)target\//mv.exec(readFileSync('deploy/system.toml', 'utf8'));
	return command.groups.flags.split(' ').filter(flag => flag !== '');
}

/** Writes the bundle, a function in the form of a CommonJS module; returns its file name. */
async function writeBundle() {
	const outfile = path.join(outDir, `${name}.cjs`);
	const {outputFiles} = await build({
		...options,
		entryPoints: ['platform/src/run-gateway.ts'],
		outfile,
		write: false,
		format: 'cjs',
		define: {'import.meta.url': '__bundleUrl'},
		banner: {js: '(function (exports, require, module) { const __bundleUrl = require(\'node:url\').pathToFileURL(module.filename).href;'},
		footer: {js: '})'},
		sourcemap: 'external',
		plugins: [libraryParts],
	});
	const {text} = outputFiles.find(file => file.path.endsWith('.cjs'));
	const bundleFile = `${name}-${createHash('sha256').update(text).digest('hex').slice(0, digestLength)}.cjs`;
	writeFileSync(path.join(outDir, bundleFile), text);
	writeFileSync(path.join(outDir, `${bundleFile}.map`), outputFiles.find(file => file.path.endsWith('.map')).text);
	return bundleFile;
}

/** Runs instances from the bundle in a process of their own, which writes the code cache. Without it, the gateway starts more slowly. */
async function writeCodeCache(bundleFile, codeCacheFile) {
	const dir = mkdtempSync(path.join(outDir, 'warm-up-'));
	try {
		const outfile = path.join(dir, 'warm-up.mjs');
		await build({...moduleOptions, entryPoints: ['platform/src/bundle/warm-up.ts'], outfile});
		execFileSync(process.execPath, [...readRunFlags(), outfile, path.resolve(outDir, bundleFile), path.join(outDir, codeCacheFile), dir], {
			stdio: ['ignore', 'ignore', 'inherit'], timeout: warmUpTimeoutMs, killSignal: 'SIGKILL',
		});
	} catch (err) {
		console.warn(`No code cache, the gateway will start more slowly: ${err.message}`);
	} finally {
		rmSync(dir, {recursive: true});
	}
}

mkdirSync(outDir, {recursive: true});
for (const file of readdirSync(outDir).filter(file => file.startsWith(name))) {
	rmSync(path.join(outDir, file));
}

const bundleFile = await writeBundle();
const codeCacheFile = bundleFile.replace(/cjs$/v, 'cache');
await writeCodeCache(bundleFile, codeCacheFile);
// The platform runs an ES module. Built-in modules are loaded with `require`, as an import of them also sets up parts of them that are not used.
await build({
	...options,
	entryPoints: ['platform/src/bundle/entry.ts'],
	outfile: path.join(outDir, `${name}.mjs`),
	format: 'cjs',
	banner: {js: 'import {createRequire as createRequireOf} from \'node:module\'; const require = createRequireOf(import.meta.url), __entryUrl = import.meta.url;'},
	define: {
		'import.meta.url': '__entryUrl',
		bundleFile: JSON.stringify(bundleFile),
		codeCacheFile: JSON.stringify(codeCacheFile),
		builtCodeCacheTag: JSON.stringify(`${process.version}-${process.versions.v8}-${process.platform}-${process.arch}`),
	},
});
