import {setTimeout as sleep} from 'node:timers/promises';
import {
	Server, ServerCredentials, status, type sendUnaryData, type ServerDuplexStream, type ServerUnaryCall,
} from '@grpc/grpc-js';
import {
	type BorrowSlotsReply, type BorrowSlotsRequest, type FetchDocumentsReply, type Heartbeat, type PeerServer, type ReturnSlotsRequest,
} from '@galenakeel/model/connection/generated/peer.js';
import {detailOf} from '@galenakeel/model/request/fault.js';
import type {Submission, SubmissionAnswer} from '@galenakeel/model/request/task.js';
import type {PeerHeartbeat} from '../process/membership.js';
import type {JobView} from '../request/inspect-submission.js';
import {createCountedPeerService, type CountPeerMessage} from './counted-peer-service.js';
import {createHeartbeatReader} from './heartbeat-stream.js';
import {channelOptions, sendHeartbeats, type HeartbeatSource} from './peer-connection.js';
import {
	answerToWire, jobViewToWire, submissionFromWire,
} from './peer-encoding.js';

/**
Handlers for streams and calls from peers.
*/
export type PeerHandlers = {
	readonly onHeartbeat: (heartbeat: PeerHeartbeat) => void;
	/** Opens the source of the heartbeats to send on a stream to a peer. */
	readonly openHeartbeats: (peer: string) => HeartbeatSource;
	/** Called when the heartbeat stream from a peer has ended. */
	readonly onStreamEnded: (peer: string) => void;
	readonly submit: (submission: Submission) => Promise<SubmissionAnswer>;
	/** Returns the state of a submission that this incarnation holds, or cancels it. */
	readonly inspect: (identifier: string, shouldCancel: boolean) => Promise<JobView | undefined>;
	readonly lendSlots: (request: BorrowSlotsRequest) => BorrowSlotsReply;
	readonly reclaimSlots: (request: ReturnSlotsRequest) => void;
	readonly documentsAbove: (version: number) => FetchDocumentsReply;
};

const stopTimeoutMilliseconds = 1000;

type UnaryHandler<Request, Reply> = (call: ServerUnaryCall<Request, Reply>, callback: sendUnaryData<Reply>) => void;

const answerCall = <Request, Reply>(handle: (request: Request) => Reply | Promise<Reply>): UnaryHandler<Request, Reply> => {
	const answer = async (request: Request, callback: sendUnaryData<Reply>): Promise<void> => {
		try {
			callback(null, await handle(request));
		} catch (error) {
			callback({code: status.INTERNAL, details: detailOf(error)});
		}
	};

	return (call, callback) => {
		void answer(call.request, callback);
	};
};

/**
Serves one heartbeat stream opened by a peer.
*/
const serveHeartbeats = async (stream: ServerDuplexStream<Heartbeat, Heartbeat>, handlers: PeerHandlers, closing: AbortSignal): Promise<void> => {
	const ended = new AbortController();
	closing.addEventListener('abort', () => {
		stream.end();
	}, {signal: ended.signal});
	stream.on('cancelled', () => {
		ended.abort();
	});
	const read = createHeartbeatReader();
	let peer: string | undefined;
	let source: HeartbeatSource | undefined;
	try {
		for await (const message of stream as AsyncIterable<Heartbeat>) {
			const heartbeat = read(message);
			handlers.onHeartbeat(heartbeat);
			// The first heartbeat identifies the peer, which determines the heartbeat interval.
			if (!source) {
				peer = heartbeat.instance;
				source = handlers.openHeartbeats(peer);
				void sendHeartbeats(stream, source, ended.signal);
			}
		}
	} catch {
		// A broken stream is handled like a closed one: the peer reconnects.
	}

	ended.abort();
	source?.close();
	stream.end();
	if (peer !== undefined) {
		handlers.onStreamEnded(peer);
	}
};

/**
Starts the gRPC server for calls from other entry instances.

@param count Called for each message sent by the server.
@returns A function that shuts the server down gracefully: it waits up to 1 s for calls in progress, then aborts them.
*/
export const startPeerServer = async (address: string, handlers: PeerHandlers, count: CountPeerMessage): Promise<() => Promise<void>> => {
	const server = new Server(channelOptions);
	const closing = new AbortController();
	const implementation: PeerServer = {
		heartbeats(stream) {
			void serveHeartbeats(stream, handlers, closing.signal);
		},
		submit: answerCall(async request => answerToWire(await handlers.submit(submissionFromWire(request)))),
		inspect: answerCall(async ({identifier, cancel}) => jobViewToWire(await handlers.inspect(identifier, cancel))),
		borrowSlots: answerCall(handlers.lendSlots),
		returnSlots: answerCall(request => {
			handlers.reclaimSlots(request);
			return {};
		}),
		fetchDocuments: answerCall(({aboveVersion}) => handlers.documentsAbove(aboveVersion)),
	};
	server.addService(createCountedPeerService(count), implementation);
	await new Promise<void>((resolve, reject) => {
		server.bindAsync(address, ServerCredentials.createInsecure(), error => {
			if (error) {
				reject(error);
			} else {
				resolve();
			}
		});
	});
	return async () => {
		closing.abort();
		const finished = new Promise<void>(resolve => {
			server.tryShutdown(() => {
				resolve();
			});
		});
		await Promise.race([finished, sleep(stopTimeoutMilliseconds, undefined, {ref: false})]);
		server.forceShutdown();
	};
};
