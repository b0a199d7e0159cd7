import type {Platform} from '@galenakeel/model/connection/platform-client.js';
import {readDocument, readHistory} from '@galenakeel/model/version/document-store.js';
import {describeDifference} from '../version/document-difference.js';

/**
What an operator needs to know to settle a conflict.
*/
export type ConflictReport = {
	readonly service: string;
	/** Version that the operator's change was made from; 0 when none. */
	readonly seenVersion: number;
	readonly currentVersion: number;
	/** Who accepted the current version, and when. */
	readonly author: string;
	readonly acceptedAt: string;
	/** What the others changed since the version that the change was made from. */
	readonly theirDiff: string;
	/** What the operator's file would change in the current version. */
	readonly yourDiff: string;
	/** The commands to type next. */
	readonly next: readonly string[];
};

/**
Describes a conflict between an operator's file and the document in force; `undefined` when there is no document.

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
Writes a conflict for people.
*/
export const formatConflict = (report: ConflictReport): string => [
	`document-conflict: version ${report.currentVersion} of the document of "${report.service}" was accepted by ${report.author} at ${report.acceptedAt};`,
	`your change was made from version ${report.seenVersion}. Nothing was changed.`,
	`What changed since version ${report.seenVersion}:`,
	report.theirDiff,
	'What your file would change in the document in force:',
	report.yourDiff,
	'Next: write a copy of the document in force, put your change into it, look at it, and accept it:',
	...report.next.map(command => `  ${command}`),
].join('\n');
