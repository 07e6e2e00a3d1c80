import {ChannelCredentials, experimental, ServerCredentials} from '@grpc/grpc-js';
import type {TlsFiles} from '../settings/index.js';
import type {TlsProvider} from './tls-provider.js';

/** Returns the credentials for connections to other instances; unencrypted when `tls` is undefined. */
export function clientCredentials(tls: TlsFiles | undefined): ChannelCredentials {
	if (tls === undefined) {
		return ChannelCredentials.createInsecure();
	}

	// Instances are replaced at new addresses, so host names are not checked; a certificate of the authority is enough.
	return ChannelCredentials.createSsl(tls.ca, tls.key, tls.cert, {checkServerIdentity: () => undefined});
}

/** Returns the credentials of the peer server, unencrypted when `tls` is undefined; clients without a valid certificate are refused. */
export function serverCredentials(tls: TlsProvider | undefined): ServerCredentials {
	if (tls === undefined) {
		return ServerCredentials.createInsecure();
	}

	return experimental.createCertificateProviderServerCredentials(tls, tls, true);
}
