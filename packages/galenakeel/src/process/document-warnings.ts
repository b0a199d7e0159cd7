import type {Platform} from '@galenakeel/model/connection/platform-client.js';
import {readDocuments} from '@galenakeel/model/version/document-store.js';
import type {ServiceDocument} from '@galenakeel/model/version/service-document.js';
import {findSharedAddresses} from '@galenakeel/model/version/shared-addresses.js';

/**
Returns a warning for each endpoint address that the documents of other services also contain.

@example
```
const warnings = await findDocumentWarnings(platform, document);
```
*/
export const findDocumentWarnings = async (platform: Platform, document: ServiceDocument): Promise<readonly string[]> => {
	const accepted = await readDocuments(platform);
	const shared = findSharedAddresses(document, accepted.map(entry => entry.document));
	return shared.map(({address, endpoint, otherService, otherEndpoint}) =>
		`endpoint "${endpoint}" at ${address} is also endpoint "${otherEndpoint}" of "${otherService}"; an endpoint belongs to one service, so remove it from one of the two documents`);
};
