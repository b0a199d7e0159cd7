import type {Room} from '@galenakeel/model/request/job.js';

/**
Tells whether a demand fits into a room.

@example
```
isFitting({processor: 500, memoryMegabytes: 64, accelerators: 0}, free); // => true
```
*/
export const isFitting = (demand: Room, room: Room): boolean =>
	demand.processor <= room.processor && demand.memoryMegabytes <= room.memoryMegabytes && demand.accelerators <= room.accelerators;

/**
Returns what is left of a room beside a demand.
*/
export const subtractResources = (room: Room, demand: Room): Room => ({
	processor: room.processor - demand.processor,
	memoryMegabytes: room.memoryMegabytes - demand.memoryMegabytes,
	accelerators: room.accelerators - demand.accelerators,
});

/**
Returns a room with what a demand gives back.
*/
export const addResources = (room: Room, demand: Room): Room => ({
	processor: room.processor + demand.processor,
	memoryMegabytes: room.memoryMegabytes + demand.memoryMegabytes,
	accelerators: room.accelerators + demand.accelerators,
});
