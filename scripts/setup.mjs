/**
 * Installs the locked packages if they are missing or older than the lock file.
 */
import {execFileSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';

const lockFile = 'package-lock.json';
const installedLock = 'node_modules/.package-lock.json';

const isCurrent = existsSync(installedLock)
	&& statSync(installedLock).mtimeMs >= statSync(lockFile).mtimeMs;

if (!isCurrent) {
	execFileSync('npm', ['ci'], {stdio: 'inherit'});
}
