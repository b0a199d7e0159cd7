import {Buffer} from 'node:buffer';
import * as wire from '@galenakeel/model/connection/generated/peer.js';
import {FaultKind, isFaultKind} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {
	HeaderList, Submission, SubmissionAnswer, Task, TaskAnswer,
} from '@galenakeel/model/request/task.js';
import {HeartbeatProbe, InstanceState, type PeerHeartbeat} from '../process/membership.js';
import {isSubmissionState, SubmissionState} from '../process/submission-register.js';
import type {JobView} from '../request/inspect-submission.js';

const outcomeToWire: Readonly<Record<Outcome, wire.Outcome>> = {
	[Outcome.Complete]: wire.Outcome.OUTCOME_COMPLETE,
	[Outcome.Failed]: wire.Outcome.OUTCOME_FAILED,
	[Outcome.NotRun]: wire.Outcome.OUTCOME_NOT_RUN,
	[Outcome.OutcomeUnknown]: wire.Outcome.OUTCOME_UNKNOWN,
};

const stateToWire: Readonly<Record<InstanceState, wire.InstanceState>> = {
	[InstanceState.Starting]: wire.InstanceState.INSTANCE_STATE_STARTING,
	[InstanceState.Serving]: wire.InstanceState.INSTANCE_STATE_SERVING,
	[InstanceState.Leaving]: wire.InstanceState.INSTANCE_STATE_LEAVING,
};

const outcomeFromWire = (outcome: wire.Outcome): Outcome => {
	switch (outcome) {
		case wire.Outcome.OUTCOME_COMPLETE: {
			return Outcome.Complete;
		}

		case wire.Outcome.OUTCOME_FAILED: {
			return Outcome.Failed;
		}

		case wire.Outcome.OUTCOME_NOT_RUN: {
			return Outcome.NotRun;
		}

		case wire.Outcome.OUTCOME_UNKNOWN:
		case wire.Outcome.OUTCOME_UNSPECIFIED:
		case wire.Outcome.UNRECOGNIZED: {
			return Outcome.OutcomeUnknown;
		}
	}
};

const stateFromWire = (state: wire.InstanceState): InstanceState => {
	switch (state) {
		case wire.InstanceState.INSTANCE_STATE_SERVING: {
			return InstanceState.Serving;
		}

		case wire.InstanceState.INSTANCE_STATE_LEAVING: {
			return InstanceState.Leaving;
		}

		case wire.InstanceState.INSTANCE_STATE_STARTING:
		case wire.InstanceState.INSTANCE_STATE_UNSPECIFIED:
		case wire.InstanceState.UNRECOGNIZED: {
			return InstanceState.Starting;
		}
	}
};

const probeToWire = (probe: HeartbeatProbe | undefined): wire.Probe => {
	switch (probe) {
		case HeartbeatProbe.Answer: {
			return wire.Probe.PROBE_ANSWER;
		}

		case HeartbeatProbe.Suspicion: {
			return wire.Probe.PROBE_ALARM;
		}

		case undefined: {
			return wire.Probe.PROBE_UNSPECIFIED;
		}
	}
};

const probeFromWire = (probe: wire.Probe): {probe?: HeartbeatProbe} => {
	switch (probe) {
		case wire.Probe.PROBE_ANSWER: {
			return {probe: HeartbeatProbe.Answer};
		}

		case wire.Probe.PROBE_ALARM: {
			return {probe: HeartbeatProbe.Suspicion};
		}

		case wire.Probe.PROBE_UNSPECIFIED:
		case wire.Probe.UNRECOGNIZED: {
			return {};
		}
	}
};

const headersToWire = (headers: HeaderList): wire.Header[] => headers.map(([name, value]) => ({name, value}));

const headersFromWire = (headers: readonly wire.Header[]): HeaderList => headers.map(({name, value}) => [name, value]);

const taskToWire = (task: Task): wire.Task => ({...task, headers: headersToWire(task.headers), body: Buffer.from(task.body)});

const taskFromWire = (task: wire.Task): Task => ({...task, headers: headersFromWire(task.headers)});

const taskAnswerToWire = (answer: TaskAnswer): wire.TaskAnswer => ({
	outcome: outcomeToWire[answer.outcome],
	status: answer.status,
	headers: headersToWire(answer.headers),
	body: Buffer.from(answer.body),
	endpoint: answer.endpoint,
	fault: answer.fault ?? '',
	detail: answer.detail ?? '',
	attempts: answer.attempts,
});

const faultFromWire = (fault: string): {fault?: FaultKind} => {
	if (fault === '') {
		return {};
	}

	return {fault: isFaultKind(fault) ? fault : FaultKind.Internal};
};

const taskAnswerFromWire = (answer: wire.TaskAnswer): TaskAnswer => ({
	outcome: outcomeFromWire(answer.outcome),
	status: answer.status,
	headers: headersFromWire(answer.headers),
	body: answer.body,
	endpoint: answer.endpoint,
	attempts: answer.attempts,
	...faultFromWire(answer.fault),
	...(answer.detail !== '' && {detail: answer.detail}),
});

/**
Encodes a submission for the incarnation that holds its identifier.
*/
export const submissionToWire = (submission: Submission, incarnation: string): wire.SubmitRequest => ({
	...submission, incarnation, tasks: submission.tasks.map(task => taskToWire(task)),
});

/**
Decodes a submission that a peer has forwarded.
*/
export const submissionFromWire = ({incarnation: _incarnation, ...request}: wire.SubmitRequest): Submission => ({
	...request, tasks: request.tasks.map(task => taskFromWire(task)),
});

/**
Encodes the answer to a submission.
*/
export const answerToWire = (answer: SubmissionAnswer): wire.SubmitReply => ({
	outcome: outcomeToWire[answer.outcome],
	answers: answer.answers.map(task => taskAnswerToWire(task)),
	fault: answer.fault ?? '',
	detail: answer.detail ?? '',
	retryAfterMilliseconds: answer.retryAfterMilliseconds ?? 0,
});

/**
Decodes the answer to a submission.
*/
export const answerFromWire = (reply: wire.SubmitReply): SubmissionAnswer => ({
	outcome: outcomeFromWire(reply.outcome),
	answers: reply.answers.map(task => taskAnswerFromWire(task)),
	...faultFromWire(reply.fault),
	...(reply.detail !== '' && {detail: reply.detail}),
	...(reply.retryAfterMilliseconds > 0 && {retryAfterMilliseconds: reply.retryAfterMilliseconds}),
});

/**
Encodes a complete heartbeat, with no fields omitted.
*/
export const heartbeatToWire = (heartbeat: PeerHeartbeat): wire.Heartbeat => ({
	instance: heartbeat.instance,
	incarnation: heartbeat.incarnation,
	zone: heartbeat.zone,
	state: stateToWire[heartbeat.state],
	weight: heartbeat.weight,
	catalogueVersion: heartbeat.catalogueVersion,
	intervalMilliseconds: heartbeat.intervalMilliseconds,
	freeSlots: [...heartbeat.hints],
	leavingEndpoints: [...heartbeat.leavingEndpoints],
	callerAddress: heartbeat.callerAddress,
	operatorAddress: heartbeat.operatorAddress,
	peerAddress: heartbeat.peerAddress,
	continues: false,
	probe: probeToWire(heartbeat.probe),
});

/**
Decodes a heartbeat message. Omitted fields get their protobuf default values.
*/
export const heartbeatFromWire = ({freeSlots, continues: _continues, probe, ...heartbeat}: wire.Heartbeat): PeerHeartbeat => ({
	...heartbeat, state: stateFromWire(heartbeat.state), hints: freeSlots, ...probeFromWire(probe),
});

const unknownSubmission: wire.InspectReply = {
	state: '', tasks: 0, started: 0, finished: 0, answer: undefined,
};

/**
Encodes the state of a submission in this incarnation; `undefined` means that the submission is unknown here.
*/
export const jobViewToWire = (view: JobView | undefined): wire.InspectReply => {
	if (!view) {
		return unknownSubmission;
	}

	if (view.isAnswered) {
		return {...unknownSubmission, state: SubmissionState.Answered, answer: answerToWire(view.answer)};
	}

	const {state, tasks, started, finished} = view;
	return {
		state, tasks, started, finished, answer: undefined,
	};
};

/**
Decodes the state of a submission on a peer; `undefined` when the submission is unknown there.
*/
export const jobViewFromWire = (reply: wire.InspectReply): JobView | undefined => {
	const {state, tasks, started, finished, answer} = reply;
	if (answer) {
		return {isAnswered: true, answer: answerFromWire(answer)};
	}

	return isSubmissionState(state)
		? {
			isAnswered: false, state, tasks, started, finished,
		}
		: undefined;
};
