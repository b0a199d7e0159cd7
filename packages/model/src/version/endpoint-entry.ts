import type {Resources} from '../request/job.js';

/**
An endpoint as the platform lists it.
*/
export type EndpointEntry = {
	readonly identifier: string;
	/** Unix milliseconds of the endpoint's start; an endpoint that starts anew keeps its identifier. */
	readonly startedAt: number;
	readonly service: string;
	readonly address: string;
	readonly zone: string;
	/** The endpoint has announced that it will leave. */
	readonly isDraining: boolean;
	readonly room: Resources;
	/** Kind of the machine, its rack, and whatever else the platform says of it. */
	readonly labels: readonly string[];
};

/**
Names one life of an endpoint.

@example
```
lifeOf({identifier: 'i-7f3a', startedAt: 1764800000000}); // => 'i-7f3a@1764800000000'
```
*/
export const incarnationOf = ({identifier, startedAt}: Pick<EndpointEntry, 'identifier' | 'startedAt'>): string => `${identifier}@${startedAt}`;
