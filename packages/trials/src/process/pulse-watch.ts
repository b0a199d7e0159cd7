import {setTimeout as sleep} from 'node:timers/promises';
import type {PeerHeartbeat} from 'galenakeeld/process/membership.js';

/** Silence beyond the announced interval after which a peer that answers no probe is unreachable. */
const silentMilliseconds = 950;
const lookMilliseconds = 10;

type Pulse = {heardAt: number; intervalMilliseconds: number};

/**
What peers notice of one daemon's heartbeats.
*/
export type PulseWatch = {
	readonly hear: (peer: number, heartbeat: PeerHeartbeat) => void;
	/** Forgets what was noticed so far. */
	readonly reset: () => void;
	/** Heartbeats that came later than announced. */
	readonly late: () => number;
	/** Times that a peer would have taken the daemon for unreachable although it came back. */
	readonly falseAlarms: () => number;
	/** Waits until the peer that watches the daemon would take it for unreachable, and returns the time that took. */
	readonly untilSilent: () => Promise<number>;
};

/**
Creates a watch over the heartbeats that all fake peers hear, with the time that daemons give their peers before they take them for unreachable.
*/
export const createPulseWatch = (): PulseWatch => {
	const pulses = new Map<number, Pulse>();
	let late = 0;
	let falseAlarms = 0;

	const isSilent = ({heardAt, intervalMilliseconds}: Pulse, now: number): boolean => now - heardAt > intervalMilliseconds + silentMilliseconds;

	const isFound = (): boolean => {
		const now = performance.now();
		return [...pulses.values()].some(pulse => isSilent(pulse, now));
	};

	return {
		hear(peer, {intervalMilliseconds}) {
			const now = performance.now();
			const before = pulses.get(peer);
			// A timer that is due at the interval fires a little after it.
			late += before && now - before.heardAt > before.intervalMilliseconds * 1.1 ? 1 : 0;
			falseAlarms += before && isSilent(before, now) ? 1 : 0;
			pulses.set(peer, {heardAt: now, intervalMilliseconds});
		},
		reset() {
			late = 0;
			falseAlarms = 0;
		},
		late: () => late,
		falseAlarms: () => falseAlarms,
		async untilSilent() {
			const startedAt = performance.now();
			while (!isFound()) {
				await sleep(lookMilliseconds);
			}

			return performance.now() - startedAt;
		},
	};
};
