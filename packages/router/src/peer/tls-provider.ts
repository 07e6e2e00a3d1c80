import process from 'node:process';
import type {experimental} from '@grpc/grpc-js';
import type {TlsFiles} from '../settings/index.js';

type CaListener = experimental.CaCertificateUpdateListener;
type IdentityListener = experimental.IdentityCertificateUpdateListener;

/** Gives keys to a server, and newer ones while it listens. */
export class TlsProvider implements experimental.CertificateProvider {
	private readonly caListeners = new Set<CaListener>();
	private readonly identityListeners = new Set<IdentityListener>();

	private files: TlsFiles;

	constructor(files: TlsFiles) {
		this.files = files;
	}

	/** Uses other keys from now on. */
	updateFiles(files: TlsFiles): void {
		this.files = files;
		for (const listener of this.caListeners) {
			this.tellCa(listener);
		}

		for (const listener of this.identityListeners) {
			this.tellIdentity(listener);
		}
	}

	addCaCertificateListener(listener: CaListener): void {
		this.caListeners.add(listener);
		// The server that adds a listener is ready for it in the next turn.
		process.nextTick(() => {
			this.tellCa(listener);
		});
	}

	removeCaCertificateListener(listener: CaListener): void {
		this.caListeners.delete(listener);
	}

	addIdentityCertificateListener(listener: IdentityListener): void {
		this.identityListeners.add(listener);
		process.nextTick(() => {
			this.tellIdentity(listener);
		});
	}

	removeIdentityCertificateListener(listener: IdentityListener): void {
		this.identityListeners.delete(listener);
	}

	private tellCa(listener: CaListener): void {
		listener({caCertificate: this.files.ca});
	}

	private tellIdentity(listener: IdentityListener): void {
		listener({certificate: this.files.cert, privateKey: this.files.key});
	}
}
