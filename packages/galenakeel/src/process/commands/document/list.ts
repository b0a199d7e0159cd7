import {readDocuments} from '@galenakeel/model/version/document-store.js';
import {formatTable} from '../../../request/format-table.js';
import {loadSettings, OperatorCommand, openPlatform} from '../../operator-command.js';

type ListedDocument = {readonly service: string; readonly team: string; readonly version: number; readonly endpoints: number};

/**
Lists the accepted documents.
*/
export default class DocumentList extends OperatorCommand {
	static override description = 'List the accepted documents with the owning team, the version and the number of endpoints of each.';
	static override examples = ['<%= config.bin %> <%= command.id %>', '<%= config.bin %> <%= command.id %> --json'];

	async run(): Promise<readonly ListedDocument[]> {
		const {flags} = await this.parse(DocumentList);
		const documents = await readDocuments(openPlatform(await loadSettings(flags)));
		const rows = documents.map(({version, document}) => ({
			service: document.service, team: document.team, version, endpoints: Object.values(document.endpoints).flat().length,
		}));
		this.log(formatTable(['SERVICE', 'TEAM', 'VERSION', 'ENDPOINTS'], rows.map(({service, team, version, endpoints}) => [service, team, String(version), String(endpoints)])));
		return rows;
	}
}
