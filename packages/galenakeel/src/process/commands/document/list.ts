import {Command} from '@oclif/core';
import {createPlatformClient} from '@galenakeel/model/connection/platform-client.js';
import {readDocuments} from '@galenakeel/model/version/document-store.js';
import {platformFlags} from '../../operator-flags.js';

/**
Lists the accepted documents.
*/
export default class DocumentList extends Command {
	static override description = 'List the accepted documents with their versions and owning teams.';
	static override enableJsonFlag = true;
	static override examples = ['<%= config.bin %> <%= command.id %>'];
	static override flags = platformFlags;

	async run(): Promise<ReadonlyArray<{readonly service: string; readonly team: string; readonly version: number}>> {
		const {flags} = await this.parse(DocumentList);
		const documents = await readDocuments(createPlatformClient(flags.platform, flags.timeout));
		const rows = documents.map(({version, document}) => ({service: document.service, team: document.team, version}));
		for (const {service, team, version} of rows) {
			this.log(`${service}\t${team}\tversion ${version}`);
		}

		return rows;
	}
}
