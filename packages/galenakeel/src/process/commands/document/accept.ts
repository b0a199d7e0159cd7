import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import {Args, Flags} from '@oclif/core';
import type {Platform} from '@galenakeel/model/connection/platform-client.js';
import {createFault, FaultKind, isFault} from '@galenakeel/model/request/fault.js';
import {acceptDocument, readDocument} from '@galenakeel/model/version/document-store.js';
import {parseServiceDocument} from '@galenakeel/model/version/service-document.js';
import {waitUntilInForce} from '../../../connection/instance-status.js';
import {splitBaseVersion} from '../../../version/document-base.js';
import {describeConflict, formatConflict} from '../../document-conflict.js';
import {findDocumentWarnings} from '../../document-warnings.js';
import {ExitCode} from '../../exit-code.js';
import {loadSettings, OperatorCommand, openPlatform} from '../../operator-command.js';
import {readText} from '../../read-text.js';

type Acceptance = {readonly service: string; readonly version: number; readonly warnings: readonly string[]; readonly behind?: readonly string[]};

type Proposal = {readonly service: string; readonly seenVersion: number; readonly file: string; readonly text: string};

/**
Accepts a document, which puts it in force on every instance.
*/
export default class DocumentAccept extends OperatorCommand {
	static override description = 'Validate a document and put it in force on every instance. If it has changed since your base version, nothing is changed, and both changes are shown.';
	static override examples = [
		'<%= config.bin %> <%= command.id %> paysheet.jsonc --wait',
		'<%= config.bin %> <%= command.id %> paysheet.jsonc --from-version 12',
	];

	static override args = {file: Args.string({description: 'file with the document, JSON with comments', required: true})};
	static override flags = {
		'from-version': Flags.integer({description: 'version that the change is based on; 0 for a new service. Read from the first line of the file by default', min: 0}),
		wait: Flags.boolean({description: 'wait until every live instance has the document in force'}),
		'wait-timeout': Flags.integer({description: 'maximum time that --wait waits, in milliseconds', default: 10_000, min: 1}),
	};

	async run(): Promise<Acceptance> {
		const {args: {file}, flags} = await this.parse(DocumentAccept);
		const settings = await loadSettings(flags);
		const platform = openPlatform(settings);
		const original = await readText(file);
		const document = parseServiceDocument(original, file);
		const {text, version: baseVersion} = splitBaseVersion(original);
		const {service} = document;
		const warnings = await findDocumentWarnings(platform, document);
		for (const warning of warnings) {
			this.logToStderr(`warning: ${warning}`);
		}

		const seenVersion = flags['from-version'] ?? baseVersion ?? await requireNewService(platform, service, file);
		const version = await this.accept(platform, {
			service, seenVersion, file, text,
		});
		this.log(`accepted version ${version} of the document of ${service}`);
		if (!flags.wait) {
			return {service, version, warnings};
		}

		const behind = await waitUntilInForce(platform, version, {waitMilliseconds: flags['wait-timeout'], callMilliseconds: settings.instances.timeoutMilliseconds});
		const result = {
			service, version, warnings, behind,
		};
		if (behind.length > 0) {
			this.exitWith(ExitCode.NotInForce, `version ${version} is accepted, but not yet in force on ${behind.join(', ')}; check these instances with "galenakeel status"`, result);
		}

		this.log('in force on every live instance');
		return result;
	}

	private async accept(platform: Platform, proposal: Proposal): Promise<number> {
		try {
			return await acceptDocument(platform, {
				text: proposal.text, seenVersion: proposal.seenVersion, author: userInfo().username, nonce: randomUUID(),
			});
		} catch (error) {
			return this.resolveConflict(platform, proposal, error);
		}
	}

	/** Returns the current version if its text is identical: the document was accepted before, for example by an attempt whose response was lost. */
	private async resolveConflict(platform: Platform, proposal: Proposal, error: unknown): Promise<number> {
		const report = isFault(error, FaultKind.DocumentConflict) ? await describeConflict(platform, proposal) : undefined;
		if (!report) {
			throw error;
		}

		if (report.yourDiff === '') {
			return report.currentVersion;
		}

		return this.exitWith(ExitCode.Conflict, formatConflict(report), {error: {kind: FaultKind.DocumentConflict, exitCode: ExitCode.Conflict, ...report}});
	}
}

const requireNewService = async (platform: Platform, service: string, file: string): Promise<number> => {
	const current = await readDocument(platform, service);
	if (current) {
		const remedy = `begin with "galenakeel document edit ${service}", or check "galenakeel document diff ${file}" and pass --from-version`;
		throw createFault(FaultKind.InvalidConfiguration, `${file} does not name the version of the document of "${service}" that it is based on; ${remedy}`);
	}

	return 0;
};
