import {makeGenericClientConstructor, type MethodDefinition} from '@grpc/grpc-js';
import {PeerService, type PeerClient} from '@galenakeel/model/connection/generated/peer.js';

/**
Records one message sent to a peer: the name of its gRPC method and its encoded size in bytes.
*/
export type CountPeerMessage = (call: string, bytes: number) => void;

/**
Constructor of gRPC clients of the peer service.
*/
export type PeerClientConstructor = new (...parameters: ConstructorParameters<typeof PeerClient>) => PeerClient;

const serviceName = 'galenakeel.peer.v1.Peer';

type AnyMethod = MethodDefinition<unknown, unknown>;

const withMessageCount = (method: AnyMethod, count: CountPeerMessage): AnyMethod => {
	const call = method.path.slice(method.path.lastIndexOf('/') + 1);
	const counted = (serialize: AnyMethod['requestSerialize']): AnyMethod['requestSerialize'] => message => {
		const encoded = serialize(message);
		count(call, encoded.byteLength);
		return encoded;
	};

	return {...method, requestSerialize: counted(method.requestSerialize), responseSerialize: counted(method.responseSerialize)};
};

/**
Creates the definition of the peer service with serializers that report each sent message to `count`.
*/
export const createCountedPeerService = (count: CountPeerMessage): PeerService =>
	Object.fromEntries(Object.entries(PeerService).map(([name, method]) => [name, withMessageCount(method as AnyMethod, count)])) as unknown as PeerService;

/**
Creates a client constructor whose serializers report each sent message to `count`.

@example
```
const Client = createCountedPeerClient(metrics.countPeerMessage);
```
*/
export const createCountedPeerClient = (count: CountPeerMessage): PeerClientConstructor =>
	makeGenericClientConstructor(createCountedPeerService(count), serviceName) as unknown as PeerClientConstructor;
