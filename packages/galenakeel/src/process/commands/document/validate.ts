import {Args} from '@oclif/core';
import {parseServiceDocument} from '@galenakeel/model/version/service-document.js';
import {findDocumentWarnings} from '../../document-warnings.js';
import {loadSettings, OperatorCommand, openPlatform} from '../../operator-command.js';
import {readText} from '../../read-text.js';

type Validation = {readonly service: string; readonly isValid: true; readonly warnings: readonly string[]};

/**
Validates a document without accepting it.
*/
export default class DocumentValidate extends OperatorCommand {
	static override description = 'Validate a document and report all errors at once. If the platform\'s address is given, the document is also compared with those of other services.';
	static override examples = [
		'<%= config.bin %> <%= command.id %> paysheet.jsonc',
		'<%= config.bin %> <%= command.id %> paysheet.jsonc --platform 10.1.2.3:7000 --json',
	];

	static override args = {file: Args.string({description: 'file with the document, JSON with comments', required: true})};

	async run(): Promise<Validation> {
		const {args: {file}, flags} = await this.parse(DocumentValidate);
		const document = parseServiceDocument(await readText(file), file);
		const settings = await loadSettings(flags);
		const warnings = settings.platform.address === undefined ? [] : await findDocumentWarnings(openPlatform(settings), document);
		for (const warning of warnings) {
			this.logToStderr(`warning: ${warning}`);
		}

		this.log(`${file} is a valid document of ${document.service}`);
		if (settings.platform.address === undefined) {
			this.logToStderr('not compared with the documents of other services, because the platform\'s address is not given');
		}

		return {service: document.service, isValid: true, warnings};
	}
}
