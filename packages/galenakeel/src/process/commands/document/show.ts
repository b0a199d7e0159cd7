import {Args, Command} from '@oclif/core';
import {createPlatformClient} from '@galenakeel/model/connection/platform-client.js';
import {readDocument} from '@galenakeel/model/version/document-store.js';
import {platformFlags} from '../../operator-flags.js';

/**
Shows the accepted document of a service.
*/
export default class DocumentShow extends Command {
	static override description = 'Show the accepted document of a service, as its operators wrote it.';
	static override enableJsonFlag = true;
	static override examples = ['<%= config.bin %> <%= command.id %> paysheet > paysheet.jsonc'];
	static override args = {service: Args.string({description: 'name of the service', required: true})};
	static override flags = platformFlags;

	async run(): Promise<{readonly service: string; readonly version: number; readonly text: string}> {
		const {args, flags} = await this.parse(DocumentShow);
		const accepted = await readDocument(createPlatformClient(flags.platform, flags.timeout), args.service);
		if (!accepted) {
			this.error(`no document of "${args.service}" is accepted; "galenakeel document list" names those that are`, {exit: 4});
		}

		this.logToStderr(`version ${accepted.version}`);
		this.log(accepted.text);
		return {service: args.service, version: accepted.version, text: accepted.text};
	}
}
