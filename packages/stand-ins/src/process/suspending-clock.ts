/**
Makes a stop of the process that preloads it look like a suspension of its machine: the steady clock stands still meanwhile and the time of day goes on, and connections that were opened to it meanwhile are lost. Gaps of a second or more between two readings of the clock count as stops, so the process has to read it more often.

@example
```
spawn(process.execPath, ['--import', suspendingClock, daemonProgram, settingsPath]);
```
*/
import {Server, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';

const gapMilliseconds = 1000;
/** Time after a suspension in which a connection that is accepted was opened before its end. */
const acceptedLateMilliseconds = 20;
const readClock = performance.now.bind(performance);
let lastReading = readClock();
let resumedAt = Number.NEGATIVE_INFINITY;
let suspendedMilliseconds = 0;

performance.now = () => {
	const reading = readClock();
	const gap = reading - lastReading;
	lastReading = reading;
	if (gap >= gapMilliseconds) {
		suspendedMilliseconds += gap;
		resumedAt = reading;
	}

	return reading - suspendedMilliseconds;
};

const emit = Server.prototype.emit as (this: Server, event: string | symbol, ...values: readonly unknown[]) => boolean;
Server.prototype.emit = function (this: Server, event: string | symbol, ...values: readonly unknown[]): boolean {
	performance.now();
	if (event === 'connection' && readClock() - resumedAt < acceptedLateMilliseconds) {
		(values[0] as Socket).destroy();
		return true;
	}

	return emit.call(this, event, ...values);
};
