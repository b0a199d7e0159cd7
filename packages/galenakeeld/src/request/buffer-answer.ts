import {Buffer} from 'node:buffer';
import {
	createFault, detailOf, FaultKind, isFault,
} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {TaskAnswer} from '@galenakeel/model/request/task.js';
import type {StreamedTaskAnswer} from './run-task.js';

const readRest = async (answer: StreamedTaskAnswer, limitBytes: number): Promise<Uint8Array> => {
	const chunks: Uint8Array[] = [answer.body];
	let bytes = answer.body.byteLength;
	for await (const chunk of answer.rest! as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
		bytes += chunk.byteLength;
		if (bytes > limitBytes) {
			throw createFault(FaultKind.TooLarge, `the answer of endpoint ${answer.endpoint} is above the limit of ${limitBytes} bytes in answers.maximumBytes`);
		}
	}

	return Buffer.concat(chunks);
};

/**
Reads the rest of an answer's body into memory, so that the answer can be sent again to a repeated submission. An answer that breaks off, or exceeds the limit, becomes a failed one without a body.

@param limitBytes Maximum size of the buffered body.
@returns The complete answer, or a failed one with the fault; never throws.

@example
```
const answer = await bufferAnswer(await runTask(task, context), 2 ** 26);
```
*/
export const bufferAnswer = async (answer: StreamedTaskAnswer, limitBytes: number): Promise<TaskAnswer> => {
	const {rest, ...beginning} = answer;
	if (!rest) {
		return answer;
	}

	try {
		return {...beginning, body: await readRest(answer, limitBytes)};
	} catch (error) {
		return {
			...beginning, outcome: Outcome.Failed, status: 0, headers: [], body: new Uint8Array(), fault: isFault(error) ? error.name : FaultKind.EndpointBroken, detail: detailOf(error),
		};
	}
};
