import type {Platform} from '@galenakeel/model/connection/platform-client.js';
import {readDocuments} from '@galenakeel/model/version/document-store.js';
import type {ServiceDocument} from '@galenakeel/model/version/service-document.js';
import {findSharedAddresses} from '@galenakeel/model/version/shared-addresses.js';

/**
Finds what is doubtful about a document next to those of the other services, in words.

@example
```
const warnings = await findDocumentWarnings(platform, document);
```
*/
export const findDocumentWarnings = async (platform: Platform, document: ServiceDocument): Promise<readonly string[]> => {
	const accepted = await readDocuments(platform);
	const shared = findSharedAddresses(document, accepted.map(entry => entry.document));
	return shared.map(({address, endpoint, otherService, otherEndpoint}) =>
		`endpoint "${endpoint}" at ${address} is also endpoint "${otherEndpoint}" of "${otherService}"; an endpoint belongs to one service, so take it out of one of the two documents`);
};
