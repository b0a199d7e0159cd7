import {Args, Flags} from '@oclif/core';
import {createJobIdentifier, submitJob, type JobAnswer} from '../../../connection/job-client.js';
import {ExitCode, exitCodeOfOutcome} from '../../exit-code.js';
import {loadSettings, OperatorCommand} from '../../operator-command.js';
import {callerFlags} from '../../operator-flags.js';
import {callersAddressOf} from '../../operator-settings.js';
import {readText} from '../../read-text.js';
import {formatJobAnswer, formatJobProgress} from '../../format-job.js';

/**
Submits a job, reports its progress and waits for its answer.
*/
export default class JobSubmit extends OperatorCommand {
	static override description = 'Submit a job as a caller does, show its progress, and wait for its answer. Submitting it again with the same identifier never starts a task twice.';
	static override examples = [
		'<%= config.bin %> <%= command.id %> sheets.json --callers 10.1.2.3:8000',
		'<%= config.bin %> <%= command.id %> sheets.json --id sheets-2041 --json',
	];

	static override args = {file: Args.string({description: 'file with the job, JSON', required: true})};
	static override flags = {
		...callerFlags,
		id: Flags.string({description: 'identifier of the job; a new one is requested by default'}),
		'wait-timeout': Flags.integer({description: 'maximum time to wait for the answer, in milliseconds', default: 600_000, min: 1}),
	};

	async run(): Promise<JobAnswer> {
		const {args: {file}, flags} = await this.parse(JobSubmit);
		const settings = await loadSettings(flags);
		const address = callersAddressOf(settings);
		const text = await readText(file);
		const {timeoutMilliseconds} = settings.instances;
		const job = flags.id ?? await createJobIdentifier(address, timeoutMilliseconds);
		this.logToStderr(`submitted as ${job}; if this command ends without an answer, run it again with --id "${job}"`);
		const answer = await submitJob(address, job, text, {
			waitMilliseconds: flags['wait-timeout'],
			timeoutMilliseconds,
			report: progress => {
				this.logToStderr(formatJobProgress(progress));
			},
		});
		const exitCode = exitCodeOfOutcome(answer.outcome);
		if (exitCode !== ExitCode.Success) {
			this.exitWith(exitCode, formatJobAnswer(answer), answer);
		}

		this.log(formatJobAnswer(answer));
		return answer;
	}
}
