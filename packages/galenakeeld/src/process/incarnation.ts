import {randomBytes} from 'node:crypto';
import type {DaemonSettings} from './daemon-settings.js';

/**
One run of the daemon on one entry instance.
*/
export type Incarnation = {
	readonly instance: string;
	/** Differs for each run, so that messages of an earlier run are not attributed to this one. */
	readonly incarnation: string;
	readonly zone: string;
	readonly weight: number;
	readonly callerAddress: string;
	readonly peerAddress: string;
	readonly operatorAddress: string;
};

/**
Tells whether a run of an instance started before another run of the same instance, by the wall clocks of the machines on which they started.

@example
```
isEarlierIncarnation('mj3k2a1b00', 'mj3k2a9c00'); // => true
```
*/
export const isEarlierIncarnation = (incarnation: string, other: string): boolean => incarnation < other;

/**
Creates the identity of this run. The incarnation starts with the current time, so that runs of one instance can be ordered.
*/
export const createIncarnation = (settings: DaemonSettings): Incarnation => ({
	instance: settings.instance,
	incarnation: `${Date.now().toString(36)}${randomBytes(6).toString('hex')}`,
	zone: settings.zone,
	weight: settings.weight,
	callerAddress: settings.listen.callers,
	peerAddress: settings.listen.peers,
	operatorAddress: settings.listen.operators,
});
