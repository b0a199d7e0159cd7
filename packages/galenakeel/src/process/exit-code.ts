import {FaultKind} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';

/**
Exit codes of the command line.
*/
export enum ExitCode {
	/** The command succeeded. */
	Success = 0,
	/** The command failed for a reason without a code of its own. */
	Failed = 1,
	/** The command line is invalid. */
	Usage = 2,
	/** The document is accepted, but not yet in force on every live instance. */
	NotInForce = 3,
	/** The document, version, job or record does not exist. */
	NotFound = 4,
	/** Another operator changed the document first. */
	Conflict = 5,
	/** A document, a job, a settings file or an address is invalid, or a file can't be read or written. */
	InvalidConfiguration = 6,
	/** The platform or an instance did not answer. */
	Unavailable = 7,
	/** The job started, but has no complete answer. */
	JobFailed = 8,
	/** The job was refused, and none of its tasks ran. */
	JobNotRun = 9,
	/** It is not known whether the job ran. */
	JobOutcomeUnknown = 10,
	/** The `doctor` command found a problem. */
	ProblemsFound = 11,
}

const exitCodesByFault: Readonly<Partial<Record<FaultKind, ExitCode>>> = {
	[FaultKind.UnknownService]: ExitCode.NotFound,
	[FaultKind.BadIdentifier]: ExitCode.NotFound,
	[FaultKind.DocumentConflict]: ExitCode.Conflict,
	[FaultKind.InvalidConfiguration]: ExitCode.InvalidConfiguration,
	[FaultKind.PlatformUnavailable]: ExitCode.Unavailable,
	[FaultKind.InstanceUnreachable]: ExitCode.Unavailable,
};

/**
Returns the exit code of a command that ends with a fault.

@example
```
exitCodeOfFault(FaultKind.DocumentConflict); // => ExitCode.Conflict
```
*/
export const exitCodeOfFault = (kind: FaultKind): ExitCode => exitCodesByFault[kind] ?? ExitCode.Failed;

const exitCodesByOutcome: Readonly<Record<Outcome, ExitCode>> = {
	[Outcome.Complete]: ExitCode.Success,
	[Outcome.Failed]: ExitCode.JobFailed,
	[Outcome.NotRun]: ExitCode.JobNotRun,
	[Outcome.OutcomeUnknown]: ExitCode.JobOutcomeUnknown,
};

/**
Returns the exit code of a command that ends with the answer to a job.
*/
export const exitCodeOfOutcome = (outcome: Outcome): ExitCode => exitCodesByOutcome[outcome];
