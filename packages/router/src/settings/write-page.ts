/**
 * Writes docs/SETTINGS.md.
 */
import {writeFileSync} from 'node:fs';
import {formatSettingsPage} from './settings-page.js';

writeFileSync(new URL('../../../../docs/SETTINGS.md', import.meta.url), formatSettingsPage());
