import {mkdirSync, mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';

/**
 * Creates an empty folder for the files of child processes and returns its path. In a
 * test run it lies in the directory that the runner names in TEST_OUTPUT_DIR, so that
 * it can be found if it is left behind; otherwise in that for temporary files.
 */
export function createOutputFolder(name: string): string {
	const dir = process.env.TEST_OUTPUT_DIR ?? tmpdir();
	mkdirSync(dir, {recursive: true});
	return mkdtempSync(join(dir, `${name}-`));
}
