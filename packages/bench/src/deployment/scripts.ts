import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';

const require = createRequire(import.meta.url);

/** Returns the path of the compiled main module of a package of this repository. */
function resolveMain(packageName: string): string {
	return join(dirname(require.resolve(packageName)), 'main.js');
}

/** Scripts that a deployment runs. */
export const scripts = {
	standins: resolveMain('@bluebellyard/standins'),
	router: resolveMain('@bluebellyard/router'),
	ctl: resolveMain('@bluebellyard/ctl'),
};
