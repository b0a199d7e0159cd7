import type {Platform} from '@galenakeel/model/connection/platform-client.js';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import {readDocument, readHistory} from '@galenakeel/model/version/document-store.js';

/**
The text of one accepted version of a document.
*/
export type AcceptedText = {readonly version: number; readonly text: string};

/**
Reads the accepted document of a service, or an earlier accepted version of it.

@throws A fault of kind `UnknownService` when the service has no accepted document or no such version.

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
		throw createFault(FaultKind.UnknownService, `"${service}" has no accepted document; "galenakeel document list" lists the services that have one`);
	}

	return current;
};
