import type {RecordStepKind} from '@galenakeel/model/process/request-record.js';
import type {FaultKind} from '@galenakeel/model/request/fault.js';
import type {Outcome} from '@galenakeel/model/request/outcome.js';
import type {ObservedKind} from '../process/observed-kind.js';

/**
A step of a request or of one of its tasks.
*/
export type ObservedStep = {
	readonly kind: RecordStepKind;
	readonly endpoint?: string;
	readonly fault?: FaultKind;
	/** The waiting time of a granted slot, or the run time of an attempt. */
	readonly milliseconds?: number;
	readonly detail?: string;
};

/**
Records a step for request records and metrics. It is called several times for every task, so it must be cheap.
*/
export type NoteStep = (step: ObservedStep) => void;

/**
How a request or job ended.
*/
export type ObservedEnd = {readonly outcome: Outcome; readonly fault?: FaultKind; readonly detail?: string};

/**
Observes one request or job from its start to its answer.
*/
export type RequestObserver = {
	readonly note: NoteStep;
	readonly end: (end: ObservedEnd) => void;
};

/**
Starts the observation of a request or job.
*/
export type Observe = (subject: {readonly kind: ObservedKind; readonly identifier: string; readonly service: string; readonly detail?: string}) => RequestObserver;
