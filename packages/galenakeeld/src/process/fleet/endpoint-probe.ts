import {CallOutcome, type EndpointCalls} from '@galenakeel/model/connection/endpoint-calls.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';

/** Lower than any token of an owner. Endpoints that have had an owner reject it, so the probe changes nothing. */
const probeToken = 0;
const probedEndpoints = 2;

/**
Creates a probe that tells whether any of the first endpoints of a list answers.

@example
```
const probe = createEndpointProbe(createEndpointClient);
await probe(entries); // => true
```
*/
export const createEndpointProbe = (createCalls: (entry: EndpointEntry) => EndpointCalls) => {
	const probeEndpoint = async (entry: EndpointEntry): Promise<boolean> => {
		const calls = createCalls(entry);
		const {outcome} = await calls.poll({fencingToken: probeToken, acknowledged: 0, waitMilliseconds: 0});
		calls.close();
		return outcome !== CallOutcome.Unknown;
	};

	return async (entries: readonly EndpointEntry[]): Promise<boolean> => {
		const answers = await Promise.all(entries.slice(0, probedEndpoints).map(async entry => probeEndpoint(entry)));
		return answers.includes(true);
	};
};
