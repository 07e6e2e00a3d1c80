import {fileURLToPath} from 'node:url';
import {loadPackageDefinition} from '@grpc/grpc-js';
import {loadSync} from '@grpc/proto-loader';
import type {ProtoGrpcType} from './generated/peer.js';

const protoFile = fileURLToPath(new URL('../../proto/peer.proto', import.meta.url));

const definition = loadSync(protoFile, {
	keepCase: false, longs: Number, enums: String, defaults: true, oneofs: true,
});

/** Client constructor and service definition for the calls between instances. */
// The loader returns an untyped object with the shape of the generated type.

// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion, @typescript-eslint/naming-convention
export const {Peer: PeerService} = (loadPackageDefinition(definition) as unknown as ProtoGrpcType).bluebellyard;
