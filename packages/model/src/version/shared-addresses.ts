import type {ServiceDocument} from './service-document.js';

/**
An endpoint address that the documents of two services have in common.
*/
export type SharedAddress = {readonly address: string; readonly endpoint: string; readonly otherService: string; readonly otherEndpoint: string};

const endpointsOf = ({endpoints}: ServiceDocument): ReadonlyArray<{readonly name: string; readonly address: string}> => Object.values(endpoints).flat();

/**
Finds the endpoint addresses of a document that also occur in documents of other services.

An endpoint must belong to one service only: two services would each fill all of its slots.

@example
```
findSharedAddresses(paysheet, [rerate]); // => [{address: '10.1.2.3:8080', endpoint: 'worker-1', otherService: 'rerate', otherEndpoint: 'worker-9'}]
```
*/
export const findSharedAddresses = (document: ServiceDocument, others: readonly ServiceDocument[]): readonly SharedAddress[] => {
	const owners = new Map<string, {readonly otherService: string; readonly otherEndpoint: string}>();
	for (const other of others) {
		for (const {name, address} of other.service === document.service ? [] : endpointsOf(other)) {
			owners.set(address, {otherService: other.service, otherEndpoint: name});
		}
	}

	return endpointsOf(document).flatMap(({name, address}) => {
		const owner = owners.get(address);
		return owner ? [{address, endpoint: name, ...owner}] : [];
	});
};
