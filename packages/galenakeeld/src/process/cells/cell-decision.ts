import type {EndpointDecision} from './endpoint-decision.js';
import type {PlacedJob} from './placed-job.js';

/**
Decisions of a cell that are logged.
*/
export enum CellDecision {
	JobAccepted = 'job-taken',
	/** Tasks were redirected to another cell. */
	JobRedirected = 'job-redirected',
	JobRefused = 'job-refused',
	JobEnded = 'job-ended',
	JobCancelled = 'job-withdrawn',
	TaskStarted = 'task-started',
	/** A task was started that had been started before, here or, as the generation of the job tells, perhaps by an earlier owner. */
	TaskRestarted = 'task-started-again',
	TaskEnded = 'task-ended',
	TaskAdopted = 'task-adopted',
	/** An assignment that is or was here was submitted once more. */
	SubmissionRepeated = 'submission-repeated',
	/** A part was assigned anew, or the same job was submitted again, while an earlier assignment of it was here. */
	AssignmentReplaced = 'assignment-replaced',
}

/**
Records a decision with the fields that explain it.
*/
export type RecordDecision = (decision: CellDecision | EndpointDecision, fields: Readonly<Record<string, unknown>>) => void;

const routineDecisions: ReadonlySet<unknown> = new Set([CellDecision.JobAccepted, CellDecision.TaskStarted, CellDecision.JobEnded]);

/**
Tells whether a decision is one of the usual course of a job.
*/
export const isRoutine = (decision: CellDecision | EndpointDecision): boolean => routineDecisions.has(decision);

/**
Returns the fields that tell which assignment a decision is about.
*/
export const describePart = ({order, holder, assignment}: PlacedJob): Readonly<Record<string, unknown>> => ({
	job: order.job.identifier, part: order.part, assignment, generation: order.generation, holder,
});
