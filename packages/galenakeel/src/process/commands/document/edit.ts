import {writeFile} from 'node:fs/promises';
import {Args, Flags} from '@oclif/core';
import {createFault, detailOf, FaultKind} from '@galenakeel/model/request/fault.js';
import {readDocument} from '@galenakeel/model/version/document-store.js';
import {addBaseVersion} from '../../../version/document-base.js';
import {createDocumentTemplate} from '../../../version/document-template.js';
import {loadSettings, OperatorCommand, openPlatform} from '../../operator-command.js';

type WorkingCopy = {readonly service: string; readonly version: number; readonly file: string};

/**
Writes a working copy of a document, to be edited and accepted.
*/
export default class DocumentEdit extends OperatorCommand {
	static override description = 'Start a change: write a working copy of the accepted document, or a template for a new service, and print the next commands.';
	static override examples = [
		'<%= config.bin %> <%= command.id %> paysheet',
		'<%= config.bin %> <%= command.id %> paysheet --file change.jsonc --force',
	];

	static override args = {service: Args.string({description: 'name of the service', required: true})};
	static override flags = {
		file: Flags.string({description: 'file to write; SERVICE.jsonc by default'}),
		force: Flags.boolean({description: 'overwrite the file if it exists'}),
	};

	async run(): Promise<WorkingCopy> {
		const {args: {service}, flags} = await this.parse(DocumentEdit);
		const current = await readDocument(openPlatform(await loadSettings(flags)), service);
		const file = flags.file ?? `${service}.jsonc`;
		const version = current?.version ?? 0;
		await writeCopy(file, addBaseVersion(current?.text ?? createDocumentTemplate(service), version), flags.force);
		this.log(current ? `wrote version ${version} of the document of ${service} to ${file}` : `${service} has no document yet; wrote a template to ${file}`);
		this.log(`Edit the file, then run:\n  galenakeel document ${current ? 'diff' : 'validate'} ${file}\n  galenakeel document accept ${file} --wait`);
		return {service, version, file};
	}
}

const writeCopy = async (file: string, text: string, isReplacing: boolean): Promise<void> => {
	try {
		await writeFile(file, text, {flag: isReplacing ? 'w' : 'wx'});
	} catch (error) {
		throw createFault(FaultKind.InvalidConfiguration, `${file} can't be written: ${detailOf(error)}; choose another file with --file, or overwrite it with --force`);
	}
};
