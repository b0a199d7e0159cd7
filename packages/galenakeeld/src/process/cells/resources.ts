import type {Room} from '@galenakeel/model/request/job.js';

/**
Returns whether a demand fits into the free resources.

@example
```
isFitting({processor: 500, memoryMegabytes: 64, accelerators: 0}, free); // => true
```
*/
export const isFitting = (demand: Room, room: Room): boolean =>
	demand.processor <= room.processor && demand.memoryMegabytes <= room.memoryMegabytes && demand.accelerators <= room.accelerators;

/**
Returns the resources less a demand.
*/
export const subtractResources = (room: Room, demand: Room): Room => ({
	processor: room.processor - demand.processor,
	memoryMegabytes: room.memoryMegabytes - demand.memoryMegabytes,
	accelerators: room.accelerators - demand.accelerators,
});

/**
Returns the resources plus a released demand.
*/
export const addResources = (room: Room, demand: Room): Room => ({
	processor: room.processor + demand.processor,
	memoryMegabytes: room.memoryMegabytes + demand.memoryMegabytes,
	accelerators: room.accelerators + demand.accelerators,
});
