export {loadSettings, parseSettings} from './load-settings.js';
export {TlsMode} from './schema.js';
export {SettingsError, type SettingsProblem} from './settings-error.js';
export type * from './settings.js';
export {readTlsFiles, type TlsFiles} from './tls-files.js';
export {
	type Address, formatAddress, parseOrigin as readOrigin, parsePeerAddress as readPeerAddress,
} from './units.js';
