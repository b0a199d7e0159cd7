import {Command} from '@oclif/core';
import {createPlatformClient} from '@galenakeel/model/connection/platform-client.js';
import {readStatuses, type InstanceStatus} from '../../connection/instance-status.js';
import {platformFlags} from '../operator-flags.js';

/**
Shows the entry instances and what they have in force.
*/
export default class Status extends Command {
	static override description = 'Show every entry instance: its zone, state, catalogue version, waiting tasks and slots.';
	static override enableJsonFlag = true;
	static override examples = ['<%= config.bin %> <%= command.id %>', '<%= config.bin %> <%= command.id %> --json'];
	static override flags = platformFlags;

	async run(): Promise<readonly InstanceStatus[]> {
		const {flags} = await this.parse(Status);
		const statuses = await readStatuses(createPlatformClient(flags.platform, flags.timeout), flags.timeout);
		for (const status of statuses) {
			this.log([status.instance, status.zone, status.state, `catalogue ${status.catalogueVersion}`].join('\t'));
		}

		return statuses;
	}
}
