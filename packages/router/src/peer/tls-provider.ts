import process from 'node:process';
import type {experimental} from '@grpc/grpc-js';
import type {TlsFiles} from '../settings/index.js';

type CaListener = experimental.CaCertificateUpdateListener;
type IdentityListener = experimental.IdentityCertificateUpdateListener;

/** Provides the keys and certificates of a server, and replaces them while it listens. */
export class TlsProvider implements experimental.CertificateProvider {
	private readonly caListeners = new Set<CaListener>();
	private readonly identityListeners = new Set<IdentityListener>();

	private files: TlsFiles;

	constructor(files: TlsFiles) {
		this.files = files;
	}

	/** Replaces the keys and certificates and notifies the listeners. */
	updateFiles(files: TlsFiles): void {
		this.files = files;
		for (const listener of this.caListeners) {
			this.notifyCa(listener);
		}

		for (const listener of this.identityListeners) {
			this.notifyIdentity(listener);
		}
	}

	addCaCertificateListener(listener: CaListener): void {
		this.caListeners.add(listener);
		// The server that adds a listener can handle the update only after this call has returned.
		process.nextTick(() => {
			this.notifyCa(listener);
		});
	}

	removeCaCertificateListener(listener: CaListener): void {
		this.caListeners.delete(listener);
	}

	addIdentityCertificateListener(listener: IdentityListener): void {
		this.identityListeners.add(listener);
		process.nextTick(() => {
			this.notifyIdentity(listener);
		});
	}

	removeIdentityCertificateListener(listener: IdentityListener): void {
		this.identityListeners.delete(listener);
	}

	private notifyCa(listener: CaListener): void {
		listener({caCertificate: this.files.ca});
	}

	private notifyIdentity(listener: IdentityListener): void {
		listener({certificate: this.files.cert, privateKey: this.files.key});
	}
}
