import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import type {HeaderList} from '@galenakeel/model/request/task.js';

// Hop-by-hop fields (RFC 9110, section 7.6.1), and those that the dispatcher sets itself.
const connectionFields: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'content-length', 'host', 'expect',
]);
const reservedPrefix = 'galenakeel-';

/**
Returns header fields as pairs, in the order in which they were received.

@param rawHeaders Alternating names and values, in the format of `rawHeaders` of Node's `http`.
*/
export const headerListOf = (rawHeaders: readonly string[]): HeaderList => {
	const headers: Array<readonly [string, string]> = [];
	for (let position = 0; position + 1 < rawHeaders.length; position += 2) {
		headers.push([rawHeaders[position]!, rawHeaders[position + 1]!]);
	}

	return headers;
};

const namesIn = (value: string): readonly string[] => value.toLowerCase().split(',').map(name => name.trim());

/**
Removes hop-by-hop fields, including those listed in a `Connection` field, and fields reserved for the dispatcher.
*/
export const endToEndHeaders = (headers: HeaderList): HeaderList => {
	const kept: Array<readonly [string, string]> = [];
	let connectionOptions: readonly string[] = [];
	for (const header of headers) {
		const lowerCase = header[0].toLowerCase();
		if (lowerCase === 'connection') {
			connectionOptions = [...connectionOptions, ...namesIn(header[1])];
		} else if (!connectionFields.has(lowerCase) && !lowerCase.startsWith(reservedPrefix)) {
			kept.push(header);
		}
	}

	// The second pass is rarely needed: most `Connection` fields list only names that are removed anyway.
	const dropped = connectionOptions.filter(name => !connectionFields.has(name));
	return dropped.length === 0 ? kept : kept.filter(([name]) => !dropped.includes(name.toLowerCase()));
};

const flatten = (headers: HeaderList): string[] => headers.flatMap(([name, value]) => [name, value]);

/**
Encodes the header of a request to an endpoint in the raw format of Node's `http`.
*/
export const headersForEndpoint = (headers: HeaderList, address: string, body: Uint8Array | Readable): string[] => [
	'host',
	address,
	...flatten(headers),
	...(body instanceof Readable ? ['transfer-encoding', 'chunked'] : ['content-length', String(body.byteLength)]),
];

/**
Encodes the header of a response to a caller in the raw format of Node's `http`.
*/
export const headersForCaller = (headers: HeaderList, additionalHeaders: HeaderList): string[] => [
	...flatten(endToEndHeaders(headers)),
	...flatten(additionalHeaders),
];

/**
Reads a body up to a limit.

@returns The chunks read, and whether they are the complete body. The remainder of a longer body stays unread in the paused stream.
@throws The error of the stream, or an `ECONNRESET` error, when the connection breaks.
*/
export const collectBody = async (message: IncomingMessage, limitBytes: number): Promise<{readonly chunks: readonly Uint8Array[]; readonly isWhole: boolean}> => {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	for (;;) {
		const chunk = message.read() as Uint8Array | undefined;
		if (chunk) {
			chunks.push(chunk);
			bytes += chunk.byteLength;
			if (bytes > limitBytes) {
				return {chunks, isWhole: false};
			}
		} else if (message.readableEnded) {
			return {chunks, isWhole: true};
		} else {
			await nextReadable(message);
		}
	}
};

/**
Waits until a message is readable or has ended; rejects when it has failed.
*/
const nextReadable = async (message: IncomingMessage): Promise<void> => new Promise((resolve, reject) => {
	const settle = (action: () => void) => (): void => {
		message.off('readable', onReadable);
		message.off('end', onEnd);
		message.off('error', onError);
		message.off('close', onClose);
		action();
	};

	const onReadable = settle(resolve);
	const onEnd = settle(resolve);
	const onError = (error: Error): void => {
		settle(() => {
			reject(error);
		})();
	};

	const onClose = settle(() => {
		if (message.readableEnded) {
			resolve();
		} else {
			reject(Object.assign(new Error('the message ended early'), {code: 'ECONNRESET'}));
		}
	});
	message.on('readable', onReadable);
	message.on('end', onEnd);
	message.on('error', onError);
	message.on('close', onClose);
});
