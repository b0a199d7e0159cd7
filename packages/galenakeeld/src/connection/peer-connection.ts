import type {Writable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	credentials, Metadata, type ClientDuplexStream, type ClientUnaryCall, type requestCallback,
} from '@grpc/grpc-js';
import {
	PeerClient,
	type BorrowSlotsReply,
	type BorrowSlotsRequest,
	type FetchDocumentsReply,
	type Heartbeat,
	type InspectReply,
	type InspectRequest,
	type ReturnSlotsRequest,
	type SubmitReply,
	type SubmitRequest,
} from '@galenakeel/model/connection/generated/peer.js';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import type {PeerHeartbeat} from '../process/membership.js';
import type {PeerClientConstructor} from './counted-peer-service.js';
import {createHeartbeatReader, createHeartbeatWriter} from './heartbeat-stream.js';

const maximumMessageBytes = 134_217_728;
const reconnectPauseMilliseconds = 100;

/**
Options of the gRPC channels between entry instances. Keepalive detects dead connections.
*/
/* eslint-disable @typescript-eslint/naming-convention -- gRPC defines the names of channel arguments */
export const channelOptions = {
	'grpc.max_receive_message_length': maximumMessageBytes,
	'grpc.max_send_message_length': maximumMessageBytes,
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': 1000,
	'grpc.keepalive_time_ms': 2000,
	'grpc.keepalive_timeout_ms': 1000,
	'grpc.keepalive_permit_without_calls': 1,
	'grpc.enable_http_proxy': 0,
	// Channels to the same address do not share a connection, so closing a channel closes its connection.
	'grpc.use_local_subchannel_pool': 1,
};
/* eslint-enable @typescript-eslint/naming-convention */

/**
Source of the heartbeats that this instance sends on one stream.
*/
export type HeartbeatSource = {
	readonly current: () => PeerHeartbeat;
	/** Resolves when the heartbeat interval has passed, or at once after a change that must be sent to the peer. */
	readonly untilNext: () => Promise<void>;
	/** Ends the wait for the next heartbeat after the stream has ended. */
	readonly close: () => void;
};

/**
Remote calls to one peer.
*/
export type PeerCalls = {
	readonly submit: (request: SubmitRequest, timeoutMilliseconds: number) => Promise<SubmitReply>;
	readonly inspect: (request: InspectRequest, timeoutMilliseconds: number) => Promise<InspectReply>;
	readonly borrowSlots: (request: BorrowSlotsRequest, timeoutMilliseconds: number) => Promise<BorrowSlotsReply>;
	readonly returnSlots: (request: ReturnSlotsRequest, timeoutMilliseconds: number) => Promise<void>;
	readonly fetchDocuments: (aboveVersion: number, timeoutMilliseconds: number) => Promise<FetchDocumentsReply>;
	readonly openHeartbeats: () => ClientDuplexStream<Heartbeat, Heartbeat>;
	readonly close: () => void;
};

/**
Creates the client for the peer at an address. The connection is opened by the first call.

@param Client Constructor of the gRPC client: the generated one, or one that counts sent messages.

Every unary call throws a fault of kind `HolderUnreachable` when it fails or no reply arrives before its timeout.

@example
```
const calls = createPeerCalls('10.1.2.3:8001');
const reply = await calls.fetchDocuments(17, 1000);
```
*/
export const createPeerCalls = (address: string, Client: PeerClientConstructor = PeerClient): PeerCalls => {
	const client = new Client(address, credentials.createInsecure(), channelOptions);
	const pending = new Set<ClientUnaryCall>();

	type StartCall<Reply> = (options: {deadline: number}, callback: requestCallback<Reply>) => ClientUnaryCall;

	const invoke = async <Reply>(timeoutMilliseconds: number, start: StartCall<Reply>): Promise<Reply> => new Promise((resolve, reject) => {
		const call = start({deadline: Date.now() + timeoutMilliseconds}, (error, reply) => {
			pending.delete(call);
			if (error) {
				reject(createFault(FaultKind.HolderUnreachable, `the entry instance at ${address} did not reply`, error));
			} else {
				resolve(reply!);
			}
		});
		pending.add(call);
	});

	return {
		submit: async (request, timeout) => invoke(timeout, (options, callback) => client.submit(request, new Metadata(), options, callback)),
		inspect: async (request, timeout) => invoke(timeout, (options, callback) => client.inspect(request, new Metadata(), options, callback)),
		borrowSlots: async (request, timeout) => invoke(timeout, (options, callback) => client.borrowSlots(request, new Metadata(), options, callback)),
		async returnSlots(request, timeout) {
			await invoke(timeout, (options, callback) => client.returnSlots(request, new Metadata(), options, callback));
		},
		fetchDocuments: async (aboveVersion, timeout) => invoke(timeout, (options, callback) => client.fetchDocuments({aboveVersion}, new Metadata(), options, callback)),
		openHeartbeats: () => client.heartbeats(),
		close() {
			// Closing the channel does not end calls that wait for a connection: they would stay pending until their deadline.
			for (const call of pending) {
				call.cancel();
			}

			client.close();
		},
	};
};

/**
Maintains a heartbeat stream to one peer until the signal aborts: sends heartbeats of this instance, receives those of the peer, and reconnects after a failure.

@param options.openSource Opens the source that provides the heartbeats for a stream and their timing.
@param options.onHeartbeat Called with each heartbeat from the peer.
@param options.onStreamEnded Called each time the stream has ended.
*/
export const runPeerConnection = async (calls: PeerCalls, options: {
	readonly openSource: () => HeartbeatSource;
	readonly onHeartbeat: (heartbeat: PeerHeartbeat) => void;
	readonly onStreamEnded: () => void;
	readonly signal: AbortSignal;
}): Promise<void> => {
	while (!options.signal.aborted) {
		const stream = calls.openHeartbeats();
		const source = options.openSource();
		const received = receiveHeartbeats(stream, options.onHeartbeat);
		const sent = sendHeartbeats(stream, source, options.signal);
		await Promise.race([received, sent]);
		source.close();
		stream.cancel();
		options.onStreamEnded();
		await sleep(reconnectPauseMilliseconds);
	}
};

const receiveHeartbeats = async (stream: AsyncIterable<Heartbeat>, onHeartbeat: (heartbeat: PeerHeartbeat) => void): Promise<void> => {
	const read = createHeartbeatReader();
	try {
		for await (const message of stream) {
			onHeartbeat(read(message));
		}
	} catch {
		// A broken stream is handled like a closed one: `runPeerConnection` reconnects.
	}
};

/**
Sends heartbeats on a stream until it closes or the signal aborts.
*/
export const sendHeartbeats = async (stream: Writable, source: HeartbeatSource, signal: AbortSignal): Promise<void> => {
	const write = createHeartbeatWriter();
	while (!signal.aborted && stream.writable) {
		stream.write(write(source.current()));
		await source.untilNext();
	}
};
