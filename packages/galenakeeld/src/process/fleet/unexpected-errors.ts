import type {EventEmitter} from 'node:events';
import {detailOf} from '@galenakeel/model/request/fault.js';

/**
Where an error surfaced that no task has handled.
*/
export enum ErrorOrigin {
	/** It was thrown in a callback, for instance of a timer. */
	Callback = 'callback',
	/** A task that nobody awaits has failed. */
	Task = 'task',
}

/**
An error that no task has handled.
*/
export type UnexpectedError = {
	readonly origin: ErrorOrigin;
	readonly detail: string;
	/** The first lines of its stack trace. */
	readonly stack: string;
};

const maximumStackLines = 6;

const describe = (origin: ErrorOrigin, error: unknown): UnexpectedError => ({
	origin,
	detail: detailOf(error),
	stack: error instanceof Error ? (error.stack ?? '').split('\n', maximumStackLines).join('\n') : '',
});

/**
Reports errors that no task has handled. They end the callback or task in which they occurred, and the process goes on: the other requests and connections don't depend on it.

@param process Emits `uncaughtException` and `unhandledRejection`.

@example
```
handleUnexpectedErrors(process, error => {
	log.error({event: FleetEvent.UnexpectedError, ...error});
});
```
*/
export const handleUnexpectedErrors = (process: EventEmitter, onError: (error: UnexpectedError) => void): void => {
	process.on('uncaughtException', (error: unknown) => {
		onError(describe(ErrorOrigin.Callback, error));
	});
	process.on('unhandledRejection', (error: unknown) => {
		onError(describe(ErrorOrigin.Task, error));
	});
};
