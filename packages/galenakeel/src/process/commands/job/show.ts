import {Args} from '@oclif/core';
import {showJob, type JobState} from '../../../connection/job-client.js';
import {ExitCode, exitCodeOfOutcome} from '../../exit-code.js';
import {loadSettings, OperatorCommand} from '../../operator-command.js';
import {callerFlags} from '../../operator-flags.js';
import {callersAddressOf} from '../../operator-settings.js';
import {formatJobState} from '../../format-job.js';

/**
Shows the progress of a job, or its answer.
*/
export default class JobShow extends OperatorCommand {
	static override description = 'Show the progress of a job, or its answer.';
	static override examples = ['<%= config.bin %> <%= command.id %> sheets-2041 --callers 10.1.2.3:8000', '<%= config.bin %> <%= command.id %> sheets-2041 --json'];
	static override args = {id: Args.string({description: 'identifier of the job', required: true})};
	static override flags = callerFlags;

	async run(): Promise<JobState> {
		const {args: {id}, flags} = await this.parse(JobShow);
		const settings = await loadSettings(flags);
		const state = await showJob(callersAddressOf(settings), id, settings.instances.timeoutMilliseconds);
		const exitCode = state.isAnswered ? exitCodeOfOutcome(state.outcome) : ExitCode.Success;
		if (exitCode !== ExitCode.Success) {
			this.exitWith(exitCode, formatJobState(state), state);
		}

		this.log(formatJobState(state));
		return state;
	}
}
