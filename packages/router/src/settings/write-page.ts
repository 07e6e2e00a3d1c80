/**
 * Writes docs/SETTINGS.md.
 */
import {writeFileSync} from 'node:fs';
import {formatSettingsPage as settingsPageument} from './settings-page.js';

writeFileSync(new URL('../../../../docs/SETTINGS.md', import.meta.url), settingsPageument());
