import type {Resources} from '@galenakeel/model/request/job.js';

/**
Returns whether a demand fits into the free resources.

@example
```
isFitting({processor: 500, memoryMegabytes: 64, accelerators: 0}, free); // => true
```
*/
export const isFitting = (demand: Resources, available: Resources): boolean =>
	demand.processor <= available.processor && demand.memoryMegabytes <= available.memoryMegabytes && demand.accelerators <= available.accelerators;

/**
Returns the resources less a demand.
*/
export const subtractResources = (available: Resources, demand: Resources): Resources => ({
	processor: available.processor - demand.processor,
	memoryMegabytes: available.memoryMegabytes - demand.memoryMegabytes,
	accelerators: available.accelerators - demand.accelerators,
});

/**
Returns the resources plus a released demand.
*/
export const addResources = (available: Resources, demand: Resources): Resources => ({
	processor: available.processor + demand.processor,
	memoryMegabytes: available.memoryMegabytes + demand.memoryMegabytes,
	accelerators: available.accelerators + demand.accelerators,
});
