import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import {isOutcome, Outcome} from '@galenakeel/model/request/outcome.js';

/**
What came back on a connection on which a caller wrote the bytes itself.
*/
export type RawAnswer = {
	/** Everything that was received. */
	readonly text: string;
	/** Whether the daemon closed the connection before the caller gave up. */
	readonly isClosed: boolean;
	/** Time from the first byte sent to the end, in milliseconds. */
	readonly durationMilliseconds: number;
};

/**
The first response in what was received.
*/
export type RawResponse = {
	readonly status: number;
	readonly outcome: Outcome;
	readonly head: string;
	/** Everything after the header. */
	readonly body: string;
};

/**
Sends bytes as they are, part by part with a pause between, and then nothing more.

@param patienceMilliseconds Time after the last part until the caller gives up.

@example
```
const {text, isClosed} = await sendRaw('127.0.0.1:8000', ['GET / HTTP/1.0\r\n\r\n'], 1000);
```
*/
export const sendRaw = async (address: string, parts: readonly string[], patienceMilliseconds: number, pauseMilliseconds = 0): Promise<RawAnswer> => {
	const [host, port] = splitAddress(address);
	const socket = connect({host, port});
	let text = '';
	let isClosed = false;
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		text += chunk;
	});
	// A reset ends the connection like a close.
	socket.on('error', () => undefined);
	const closed = (async () => {
		await once(socket, 'close');
		isClosed = true;
	})();
	const startedAt = performance.now();
	for (const [position, part] of parts.entries()) {
		if (position > 0) {
			await sleep(pauseMilliseconds);
		}

		socket.write(part, 'latin1');
	}

	await Promise.race([closed, sleep(patienceMilliseconds, undefined, {ref: false})]);
	const answer = {text, isClosed, durationMilliseconds: performance.now() - startedAt};
	socket.destroy();
	return answer;
};

const headEnd = '\r\n\r\n';

/**
Parses the first response; status 0 and an unknown outcome when none came.
*/
export const parseRawResponse = (text: string): RawResponse => {
	const end = text.indexOf(headEnd);
	if (end === -1) {
		return {
			status: 0, outcome: Outcome.OutcomeUnknown, head: text, body: '',
		};
	}

	const head = text.slice(0, end);
	const outcome = /^galenakeel-outcome: (?<outcome>[a-z ]+)$/mv.exec(head.replaceAll('\r', ''))?.groups?.outcome ?? '';
	return {
		status: Number(head.split(' ')[1]), outcome: isOutcome(outcome) ? outcome : Outcome.OutcomeUnknown, head, body: text.slice(end + headEnd.length),
	};
};
