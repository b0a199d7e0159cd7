import type {Platform} from '@galenakeel/model/connection/platform-client.js';
import {readDocument, readHistory} from '@galenakeel/model/version/document-store.js';
import {describeDifference} from '../version/document-difference.js';

/**
A conflict between an operator's change and a newer version of the document, with the information needed to resolve it.
*/
export type ConflictReport = {
	readonly service: string;
	/** Version that the operator's change is based on; 0 if the service had no document. */
	readonly seenVersion: number;
	readonly currentVersion: number;
	/** Operator who accepted the current version; `acceptedAt` is the time. Both are `unknown` if the version is not in the history. */
	readonly author: string;
	readonly acceptedAt: string;
	/** Difference between the base version and the current version. */
	readonly theirDiff: string;
	/** Difference between the current version and the operator's file. */
	readonly yourDiff: string;
	/** The commands that resolve the conflict. */
	readonly next: readonly string[];
};

/**
Describes the conflict between an operator's file and the accepted document.

@returns `undefined` when the service has no accepted document.

@example
```
const report = await describeConflict(platform, {service: 'paysheet', seenVersion: 12, file: 'paysheet.jsonc', text});
```
*/
export const describeConflict = async (platform: Platform, proposal: {
	readonly service: string;
	readonly seenVersion: number;
	readonly file: string;
	readonly text: string;
}): Promise<ConflictReport | undefined> => {
	const {service, seenVersion, file, text} = proposal;
	const current = await readDocument(platform, service);
	if (!current) {
		return undefined;
	}

	const history = await readHistory(platform, service);
	const latest = history.find(({version}) => version === current.version);
	const base = history.find(({version}) => version === seenVersion);
	const inForce = {name: `${service} version ${current.version}`, text: current.text};
	const copy = `${service}.version-${current.version}.jsonc`;
	return {
		service,
		seenVersion,
		currentVersion: current.version,
		author: latest?.author ?? 'unknown',
		acceptedAt: latest?.acceptedAt ?? 'unknown',
		theirDiff: describeDifference({name: `${service} version ${seenVersion}`, text: base?.text ?? ''}, inForce),
		yourDiff: describeDifference(inForce, {name: file, text}),
		next: [
			`galenakeel document edit ${service} --file ${copy}`,
			`galenakeel document diff ${copy}`,
			`galenakeel document accept ${copy} --wait`,
		],
	};
};

/**
Formats a conflict as text for the terminal.
*/
export const formatConflict = (report: ConflictReport): string => [
	`document-conflict: version ${report.currentVersion} of the document of "${report.service}" was accepted by ${report.author} at ${report.acceptedAt};`,
	`your change is based on version ${report.seenVersion}. Nothing was changed.`,
	`Changes since version ${report.seenVersion}:`,
	report.theirDiff,
	'Changes that your file makes to the document in force:',
	report.yourDiff,
	'Next: write a copy of the document in force, make your change in it, review it, and accept it:',
	...report.next.map(command => `  ${command}`),
].join('\n');
