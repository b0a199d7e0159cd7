import {Args, Flags} from '@oclif/core';
import {addBaseVersion} from '../../../version/document-base.js';
import {readAcceptedText, type AcceptedText} from '../../accepted-text.js';
import {loadSettings, OperatorCommand, openPlatform} from '../../operator-command.js';

/**
Shows the accepted document of a service, or an earlier version of it.
*/
export default class DocumentShow extends OperatorCommand {
	static override description = 'Show the accepted document of a service, as its operators wrote it. Its first line names the version, so that conflicting changes are detected.';
	static override examples = [
		'<%= config.bin %> <%= command.id %> paysheet',
		'<%= config.bin %> <%= command.id %> paysheet --version 12 > paysheet.jsonc',
	];

	static override args = {service: Args.string({description: 'name of the service', required: true})};
	static override flags = {version: Flags.integer({description: 'an earlier accepted version', min: 1})};

	async run(): Promise<AcceptedText & {readonly service: string}> {
		const {args, flags} = await this.parse(DocumentShow);
		const {version, text} = await readAcceptedText(openPlatform(await loadSettings(flags)), args.service, flags.version);
		this.log(addBaseVersion(text, version).trimEnd());
		return {service: args.service, version, text};
	}
}
