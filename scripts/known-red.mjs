import {existsSync, readFileSync} from 'node:fs';

const entryPrefix = 'test: ';

/** Separates the parts of a test's path and its title. Errors outside of a test have a title without it. */
const titleSeparator = ' › ';

/** Title of the failure of a test file that ended before all of its tests had run. */
const earlyEndPattern = /\.test\.\w+ exited |^No tests found in /v;

/** Returns the titles of the tests that a file lists as known to fail; none if there is no such file. */
export function readKnownRed(file) {
	if (!existsSync(file)) {
		return [];
	}

	const lines = readFileSync(file, 'utf8').split('\n');
	return lines.filter(line => line.startsWith(entryPrefix)).map(line => line.slice(entryPrefix.length).trim());
}

/**
 * Returns the state of each known failure in a run.
 *
 * @param {string[]} knownTitles
 * @param {Array<{title: string; isOk: boolean}>} results
 */
export function describeKnownRed(knownTitles, results) {
	const failed = results.filter(({isOk}) => !isOk).map(({title}) => title);
	const passed = new Set(results.filter(({isOk}) => isOk).map(({title}) => title));
	const hasEarlyEnd = failed.some(title => earlyEndPattern.test(title));
	return knownTitles.map(title => ({title, state: describeState(title)}));

	function describeState(title) {
		if (failed.includes(title)) {
			return 'failed';
		}

		if (passed.has(title)) {
			return 'passed this time';
		}

		// A failed hook or an early end of the file keeps a test from running.
		const file = title.slice(0, title.lastIndexOf(titleSeparator) + titleSeparator.length);
		const isCutOff = hasEarlyEnd || failed.some(other => other.startsWith(file));
		return isCutOff || !title.includes(titleSeparator) ? 'not seen this time' : 'STALE, no test has this title';
	}
}

/** Returns the failures that are not known. */
export function findNewFailures(knownTitles, results) {
	return results.filter(({title, isOk}) => !isOk && !knownTitles.includes(title)).map(({title}) => title);
}

/** Returns whether a run passes: something passed, and every failure, including that of the runner itself, is a known one. */
export function isPassed(knownTitles, results, exitCode) {
	const hasPassed = results.some(({isOk}) => isOk);
	const hasFailed = results.some(({isOk}) => !isOk);
	return findNewFailures(knownTitles, results).length === 0 && hasPassed && (exitCode === 0 || hasFailed);
}
