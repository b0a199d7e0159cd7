import type {Resources} from '../request/job.js';

/**
An endpoint on the platform's list.
*/
export type EndpointEntry = {
	readonly identifier: string;
	/** Unix milliseconds of the endpoint's start; an endpoint that is restarted keeps its identifier. */
	readonly startedAt: number;
	readonly service: string;
	readonly address: string;
	readonly zone: string;
	/** The endpoint has announced that it will shut down. */
	readonly isDraining: boolean;
	readonly room: Resources;
	/** Labels from the platform, among them the kind of machine and its rack. */
	readonly labels: readonly string[];
};

/**
Identifies one incarnation of an endpoint, from one start to the next.

@example
```
incarnationOf({identifier: 'i-7f3a', startedAt: 1764800000000}); // => 'i-7f3a@1764800000000'
```
*/
export const incarnationOf = ({identifier, startedAt}: Pick<EndpointEntry, 'identifier' | 'startedAt'>): string => `${identifier}@${startedAt}`;
