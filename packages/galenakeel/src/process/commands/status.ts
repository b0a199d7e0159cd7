import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Flags} from '@oclif/core';
import {readStatuses, type InstanceStatus} from '../../connection/instance-status.js';
import {findEntries} from '../find-entries.js';
import {loadSettings, OperatorCommand} from '../operator-command.js';
import {instanceFlags} from '../operator-flags.js';
import {formatStatus} from '../format-status.js';

/**
Shows the entry instances, the document versions in force and the endpoints.
*/
export default class Status extends OperatorCommand {
	static override description = 'Show the fleet: each entry instance with its queue and slots, the document versions in force, and each endpoint with the state of its guard.';
	static override examples = [
		'<%= config.bin %> <%= command.id %>',
		'<%= config.bin %> <%= command.id %> --watch --interval 1000',
		'<%= config.bin %> <%= command.id %> --json',
		'<%= config.bin %> <%= command.id %> --instance 10.1.2.3:8002 --instance 10.1.2.4:8002',
	];

	static override flags = {
		...instanceFlags,
		watch: Flags.boolean({description: 'refresh until interrupted with Ctrl-C; with --json, print one line per refresh'}),
		interval: Flags.integer({description: 'time between two refreshes of --watch, in milliseconds', default: 2000, min: 100}),
	};

	async run(): Promise<readonly InstanceStatus[]> {
		const {flags} = await this.parse(Status);
		const settings = await loadSettings(flags);
		for (;;) {
			const statuses = await readStatuses(await findEntries(settings), settings.instances.timeoutMilliseconds);
			if (!flags.watch) {
				this.log(formatStatus(statuses));
				return statuses;
			}

			this.show(statuses);
			await sleep(flags.interval);
		}
	}

	private show(statuses: readonly InstanceStatus[]): void {
		if (this.jsonEnabled()) {
			process.stdout.write(`${JSON.stringify(statuses)}\n`);
		} else {
			this.log(`${new Date().toISOString()}\n${formatStatus(statuses)}\n`);
		}
	}
}
