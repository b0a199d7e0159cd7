import type {Platform} from '@galenakeel/model/connection/platform-client.js';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import {readDocument, readHistory} from '@galenakeel/model/version/document-store.js';

/**
The text of one accepted version of a document.
*/
export type AcceptedText = {readonly version: number; readonly text: string};

/**
Reads the text that is accepted for a service, or that was under an earlier version.

@throws A fault of kind `UnknownService` when there is none.

@example
```
const {version, text} = await readAcceptedText(platform, 'paysheet');
```
*/
export const readAcceptedText = async (platform: Platform, service: string, version?: number): Promise<AcceptedText> => {
	if (version !== undefined) {
		const history = await readHistory(platform, service);
		const entry = history.find(candidate => candidate.version === version);
		if (!entry) {
			throw createFault(FaultKind.UnknownService, `"${service}" has no version ${version}; "galenakeel document history ${service}" lists its versions`);
		}

		return entry;
	}

	const current = await readDocument(platform, service);
	if (!current) {
		throw createFault(FaultKind.UnknownService, `no document of "${service}" is accepted; "galenakeel document list" names those that are`);
	}

	return current;
};
