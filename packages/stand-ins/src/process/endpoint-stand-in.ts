import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {createDeferred, type Deferred} from '@galenakeel/model/request/deferred.js';
import {listen, readText} from '../connection/http-json.js';

/**
How the endpoint answers at present.
*/
export enum EndpointBehaviour {
	/** Answers each task after its run time. */
	Normal = 'normal',
	/** Answers each task at once with status 500. */
	FailAll = 'fail-all',
	/** Accepts tasks and never answers. */
	Freeze = 'freeze',
	/** Sends half of each answer, then destroys the connection. */
	HalfAnswer = 'half-answer',
	/** Sends half of each answer without a content length, then closes the connection. */
	NoLength = 'no-length',
	/** Sends an unsolicited second answer after each one. */
	TwoAnswers = 'two-answers',
}

/**
One start of a task on an endpoint, with the time of day in milliseconds.
*/
export type EndpointStart = {readonly task: string; readonly startedAt: number; readonly endpoint: string; readonly traceparent: string};

/**
A running stand-in of an endpoint.
*/
export type EndpointStandIn = {
	readonly address: string;
	behaviour: EndpointBehaviour;
	/** All task starts, in order of arrival. */
	readonly starts: () => readonly EndpointStart[];
	readonly close: () => void;
};

const defaultRunMilliseconds = 50;
const okStatus = 200;
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/**
Starts an endpoint that runs as many tasks at once as it has slots, and queues the others.

Query parameters of the path: `run` (run time at speed 1, in milliseconds), `bytes` (minimum length of the answer), `status` (status of the answer) and `task` (name of the task in the history).
*/
export const startEndpointStandIn = async (address: string, options: {slots: number; speed: number; connections: number}): Promise<EndpointStandIn> => {
	const starts: EndpointStart[] = [];
	const queue: Array<Deferred<void>> = [];
	let busySlots = 0;

	const acquire = async (): Promise<void> => {
		if (busySlots < options.slots) {
			busySlots++;
			return;
		}

		const turn = createDeferred<void>();
		queue.push(turn);
		await turn.promise;
	};

	const release = (): void => {
		const next = queue.shift();
		if (next) {
			next.resolve();
		} else {
			busySlots--;
		}
	};

	const standIn: EndpointStandIn = {
		address,
		behaviour: EndpointBehaviour.Normal,
		starts: () => starts,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
	const server = await listen(address, async (request, response) => {
		const query = new URL(request.url!, 'http://endpoint').searchParams;
		const task = query.get('task') ?? '';
		starts.push({
			task, startedAt: Date.now(), endpoint: address, traceparent: String(request.headers.traceparent ?? ''),
		});
		const body = await readText(request);
		await acquire();
		try {
			if (standIn.behaviour === EndpointBehaviour.Freeze) {
				await new Promise<void>(resolve => {
					response.once('close', resolve);
				});
				return;
			}

			if (standIn.behaviour === EndpointBehaviour.FailAll) {
				const text = `${task}:failed`;
				response.writeHead(500, {'content-length': Buffer.byteLength(text)});
				response.end(text);
				return;
			}

			await sleep(Number(query.get('run') ?? defaultRunMilliseconds) / options.speed);
			const text = `${task}:${body}`.padEnd(Number(query.get('bytes') ?? 0), '.');
			if (standIn.behaviour === EndpointBehaviour.NoLength) {
				response.socket!.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${text.slice(0, text.length / 2)}`);
				return;
			}

			const status = Number(query.get('status') ?? okStatus);
			if (bodilessStatuses.has(status)) {
				response.writeHead(status, {etag: `"${task}"`});
				response.end();
				return;
			}

			response.writeHead(status, {'content-type': 'text/plain', 'content-length': Buffer.byteLength(text)});
			if (standIn.behaviour === EndpointBehaviour.HalfAnswer) {
				response.write(text.slice(0, text.length / 2));
				await sleep(1);
				response.destroy();
				return;
			}

			response.end(text);
			if (standIn.behaviour === EndpointBehaviour.TwoAnswers) {
				const {socket} = response;
				await sleep(2);
				socket?.write('HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nanother:');
			}
		} finally {
			release();
		}
	});
	server.maxConnections = options.connections;
	return standIn;
};
