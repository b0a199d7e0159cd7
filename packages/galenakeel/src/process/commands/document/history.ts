import {Args, Flags} from '@oclif/core';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import {readHistory} from '@galenakeel/model/version/document-store.js';
import {formatTable} from '../../../request/format-table.js';
import {loadSettings, OperatorCommand, openPlatform} from '../../operator-command.js';

type ShownVersion = {readonly version: number; readonly acceptedAt: string; readonly author: string};

/**
Lists the accepted versions of a document.
*/
export default class DocumentHistory extends OperatorCommand {
	static override description = 'List the accepted versions of a document, newest first, with the time and the author of each.';
	static override examples = [
		'<%= config.bin %> <%= command.id %> paysheet',
		'<%= config.bin %> <%= command.id %> paysheet --limit 1000 --json',
	];

	static override args = {service: Args.string({description: 'name of the service', required: true})};
	static override flags = {limit: Flags.integer({description: 'maximum number of versions to show', default: 50, min: 1})};

	async run(): Promise<readonly ShownVersion[]> {
		const {args: {service}, flags} = await this.parse(DocumentHistory);
		const history = await readHistory(openPlatform(await loadSettings(flags)), service);
		if (history.length === 0) {
			throw createFault(FaultKind.UnknownService, `"${service}" has no accepted version; "galenakeel document list" lists the services that have one`);
		}

		const versions = history.toReversed().slice(0, flags.limit).map(({version, acceptedAt, author}) => ({version, acceptedAt, author}));
		this.log(formatTable(['VERSION', 'ACCEPTED AT', 'BY'], versions.map(({version, acceptedAt, author}) => [String(version), acceptedAt, author])));
		if (history.length > versions.length) {
			this.logToStderr(`${history.length - versions.length} older versions are not shown; increase --limit to show them`);
		}

		return versions;
	}
}
