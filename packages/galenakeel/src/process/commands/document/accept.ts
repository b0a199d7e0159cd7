import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {userInfo} from 'node:os';
import {Args, Command, Flags} from '@oclif/core';
import {createPlatformClient} from '@galenakeel/model/connection/platform-client.js';
import {acceptDocument, readDocument} from '@galenakeel/model/version/document-store.js';
import {parseServiceDocument} from '@galenakeel/model/version/service-document.js';
import {waitUntilInForce} from '../../../connection/instance-status.js';
import {platformFlags} from '../../operator-flags.js';

/**
Accepts a document, so that it comes into force on every instance.
*/
export default class DocumentAccept extends Command {
	static override description = 'Accept a document: validate it, and put it in force on every instance.';
	static override enableJsonFlag = true;
	static override examples = [
		'<%= config.bin %> <%= command.id %> paysheet.jsonc --wait',
		'<%= config.bin %> <%= command.id %> paysheet.jsonc --from-version 12',
	];

	static override args = {file: Args.string({description: 'file with the document, JSON with comments', required: true})};
	static override flags = {
		...platformFlags,
		'from-version': Flags.integer({description: 'version that the change was made from; the accepted one by default', min: 0}),
		wait: Flags.boolean({description: 'return once every live instance has the document in force'}),
		'wait-timeout': Flags.integer({description: 'longest wait, in milliseconds', default: 10_000, min: 1}),
	};

	async run(): Promise<{readonly service: string; readonly version: number; readonly behind?: readonly string[]}> {
		const {args, flags} = await this.parse(DocumentAccept);
		const platform = createPlatformClient(flags.platform, flags.timeout);
		const text = await readFile(args.file, 'utf8');
		const {service} = parseServiceDocument(text, args.file);
		const current = await readDocument(platform, service);
		const version = await acceptDocument(platform, {
			text, seenVersion: flags['from-version'] ?? current?.version ?? 0, author: userInfo().username, nonce: randomUUID(),
		});
		this.log(`accepted version ${version} of the document of ${service}`);
		if (!flags.wait) {
			return {service, version};
		}

		const behind = await waitUntilInForce(platform, version, {waitMilliseconds: flags['wait-timeout'], callMilliseconds: flags.timeout});
		if (behind.length > 0) {
			this.error(`version ${version} is not in force on ${behind.join(', ')}; look at these instances with "galenakeel status"`, {exit: 3});
		}

		this.log('in force on every live instance');
		return {service, version, behind};
	}
}
