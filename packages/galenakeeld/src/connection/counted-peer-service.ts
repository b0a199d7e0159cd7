import {makeGenericClientConstructor, type MethodDefinition} from '@grpc/grpc-js';
import {PeerService, type PeerClient} from '@galenakeel/model/connection/generated/peer.js';

/**
Counts a message to a peer by the name of its call, with the bytes of its encoding.
*/
export type CountPeerMessage = (call: string, bytes: number) => void;

/**
A constructor of clients of the service between entry instances.
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
The service between entry instances, whose encoder counts what is sent.
*/
export const createCountedPeerService = (count: CountPeerMessage): PeerService =>
	Object.fromEntries(Object.entries(PeerService).map(([name, method]) => [name, withMessageCount(method as AnyMethod, count)])) as unknown as PeerService;

/**
A constructor of clients whose encoder counts what is sent.

@example
```
const Client = createCountedPeerClient(metrics.countPeerMessage);
```
*/
export const createCountedPeerClient = (count: CountPeerMessage): PeerClientConstructor =>
	makeGenericClientConstructor(createCountedPeerService(count), serviceName) as unknown as PeerClientConstructor;
