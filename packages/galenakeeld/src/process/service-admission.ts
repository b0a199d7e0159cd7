import {performance} from 'node:perf_hooks';
import {FaultKind} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Submission, SubmissionAnswer} from '@galenakeel/model/request/task.js';
import type {ServiceVersion} from '../version/service-version.js';
import {decideAdmission, type AdmissionDemand, type Refusal} from './admission.js';
import type {RunEstimates} from './run-estimates.js';
import type {ServiceDispatcher} from './service-dispatcher.js';

/** Interval at which a request refused as never runnable is admitted once for each task kind, in case the estimate is wrong. */
const probeMilliseconds = 10_000;
/** Time for which the speed of the fastest endpoint is cached, to avoid a scan of all endpoints for each request. */
const speedCacheMilliseconds = 20;

/**
Part of a submission that admission depends on.
*/
export type AdmittedSubmission = {
	readonly deadlineMilliseconds: number;
	readonly team: string;
	readonly tasks: ReadonlyArray<Pick<Submission['tasks'][number], 'kind'>>;
};

const refusalAnswer = ({fault, detail, retryAfterMilliseconds}: Refusal): SubmissionAnswer => ({
	outcome: Outcome.NotRun, answers: [], fault, detail, ...(retryAfterMilliseconds !== undefined && {retryAfterMilliseconds}),
});

/**
Creates the admission check of one service, which refuses a submission at once if it cannot be served in time.

@param options.hasShares Whether tasks wait here for slots of this instance; otherwise every submission is admitted.
@returns A function that returns a refusal, or `undefined` to admit.

@example
```
const admit = createServiceAdmission({dispatcher, estimates, hasShares: true});
const refusal = admit(version, submission);
```
*/
export const createServiceAdmission = ({dispatcher, estimates, hasShares}: {
	dispatcher: ServiceDispatcher;
	estimates: RunEstimates;
	hasShares: boolean;
}): ((version: ServiceVersion, submission: AdmittedSubmission) => SubmissionAnswer | undefined) => {
	const probeAt = new Map<string, number>();

	let fastest = 0;
	let fastestUntil = -Infinity;

	/** Speed of the fastest available endpoint; 0 when there is none. */
	const fastestSpeed = (): number => {
		const now = performance.now();
		if (now < fastestUntil) {
			return fastest;
		}

		fastest = 0;
		for (const {endpoint, isOpen} of dispatcher.ledger.all()) {
			fastest = isOpen ? Math.max(fastest, estimates.speed(endpoint.address, endpoint.speed)) : fastest;
		}

		fastestUntil = fastest > 0 ? now + speedCacheMilliseconds : -Infinity;
		return fastest;
	};

	/** Whether a request is admitted as a probe although the estimate says that a task of this kind can't finish in time. */
	const isProbe = (kind: string): boolean => {
		const now = performance.now();
		const due = probeAt.get(kind);
		if (due === undefined || now >= due) {
			probeAt.set(kind, now + probeMilliseconds);
		}

		return due !== undefined && now >= due;
	};

	const demandOf = ({document}: ServiceVersion, {deadlineMilliseconds, tasks}: AdmittedSubmission): AdmissionDemand & {readonly longestKind: string} => {
		const speed = fastestSpeed();
		let runMilliseconds = 0;
		let work = 0;
		let longestKind = '';
		for (const {kind} of tasks) {
			const estimate = estimates.ofKind(kind);
			work += estimate.typical;
			if (estimate.percentile10 / speed > runMilliseconds) {
				runMilliseconds = estimate.percentile10 / speed;
				longestKind = kind;
			}
		}

		return {
			runMilliseconds, work, longestKind, deadlineMilliseconds, timeoutMilliseconds: document.timeoutMilliseconds, maximumQueueMilliseconds: document.maximumQueueMilliseconds,
		};
	};

	const refusalOf = (version: ServiceVersion, submission: AdmittedSubmission): Refusal | undefined => {
		const {service} = version.document;
		if (version.endpoints.length === 0) {
			return {fault: FaultKind.NoEndpoint, detail: `the document of "${service}" names no endpoint`};
		}

		if (fastestSpeed() === 0) {
			return {fault: FaultKind.NoEndpoint, detail: `every endpoint of "${service}" is leaving`};
		}

		const demand = demandOf(version, submission);
		const refusal = decideAdmission(demand, dispatcher.loadFor(submission.team, demand.longestKind));
		return refusal?.fault === FaultKind.NeverRunnable && isProbe(demand.longestKind) ? undefined : refusal;
	};

	return (version, submission) => {
		const refusal = hasShares ? refusalOf(version, submission) : undefined;
		return refusal && refusalAnswer(refusal);
	};
};
