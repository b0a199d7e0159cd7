import process from 'node:process';

const nanosecondsOfMillisecond = 1_000_000;

/**
Reads the system's monotonic clock in milliseconds. Unlike `performance.now()`, it has the same origin in all processes of the machine.

@example
```
const startedAt = readSharedClock();
```
*/
export const readSharedClock = (): number => Number(process.hrtime.bigint()) / nanosecondsOfMillisecond;
