import {Args, Flags} from '@oclif/core';
import {parseServiceDocument} from '@galenakeel/model/version/service-document.js';
import {splitBaseVersion} from '../../../version/document-base.js';
import {describeDifference} from '../../../version/document-difference.js';
import {readAcceptedText} from '../../accepted-text.js';
import {loadSettings, OperatorCommand, openPlatform} from '../../operator-command.js';
import {readText} from '../../read-text.js';

type Difference = {readonly service: string; readonly version: number; readonly isDifferent: boolean; readonly diff: string};

/**
Shows the difference between the accepted document and a file.
*/
export default class DocumentDiff extends OperatorCommand {
	static override description = 'Show the changes that a file makes to the accepted document, or to an earlier version of it.';
	static override examples = [
		'<%= config.bin %> <%= command.id %> paysheet.jsonc',
		'<%= config.bin %> <%= command.id %> paysheet.jsonc --version 12',
	];

	static override args = {file: Args.string({description: 'file with the document, JSON with comments', required: true})};
	static override flags = {version: Flags.integer({description: 'an earlier accepted version to compare with', min: 1})};

	async run(): Promise<Difference> {
		const {args: {file}, flags} = await this.parse(DocumentDiff);
		const original = await readText(file);
		const {service} = parseServiceDocument(original, file);
		const accepted = await readAcceptedText(openPlatform(await loadSettings(flags)), service, flags.version);
		const diff = describeDifference({name: `${service} version ${accepted.version}`, text: accepted.text}, {name: file, text: splitBaseVersion(original).text});
		this.log(diff === '' ? `${file} is identical to version ${accepted.version}` : diff);
		return {
			service, version: accepted.version, isDifferent: diff !== '', diff,
		};
	}
}
