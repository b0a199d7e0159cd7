import {Buffer} from 'node:buffer';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';

const prefixBytes = 4;
/** Longer frames are rejected: what arrives is no stream of frames. */
const maximumFrameBytes = 67_108_864;

/**
Returns a frame with its length in front, as a big-endian integer of four bytes.

@example
```
socket.write(prefixLength(encodeFrame(frame)));
```
*/
export const prefixLength = (frame: Uint8Array): Uint8Array => {
	const bytes = Buffer.allocUnsafe(prefixBytes + frame.length);
	bytes.writeUInt32BE(frame.length, 0);
	bytes.set(frame, prefixBytes);
	return bytes;
};

/**
Takes the next chunk of a connection and returns the frames that it completes.

@throws A fault of kind `MalformedRequest` if the length of a frame is too large.
*/
export type FrameSplitter = (chunk: Uint8Array) => readonly Uint8Array[];

/**
Creates a splitter for one connection.

@example
```
const split = createFrameSplitter();
for await (const chunk of socket) {
	for (const frame of split(chunk)) {
		receive(frame);
	}
}
```
*/
export const createFrameSplitter = (): FrameSplitter => {
	let unread: Uint8Array = new Uint8Array(0);

	/** Returns the end of the first frame, or infinity while its length has not arrived. */
	const findEnd = (): number => {
		if (unread.length < prefixBytes) {
			return Number.POSITIVE_INFINITY;
		}

		const length = new DataView(unread.buffer, unread.byteOffset, unread.byteLength).getUint32(0);
		if (length > maximumFrameBytes) {
			throw createFault(FaultKind.MalformedRequest, 'the peer sent what is no frame of messages');
		}

		return prefixBytes + length;
	};

	return chunk => {
		unread = unread.length === 0 ? chunk : Buffer.concat([unread, chunk]);
		const frames: Uint8Array[] = [];
		for (let end = findEnd(); end <= unread.length; end = findEnd()) {
			frames.push(unread.subarray(prefixBytes, end));
			unread = unread.subarray(end);
		}

		return frames;
	};
};
