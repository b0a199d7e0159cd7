import {setTimeout as sleep} from 'node:timers/promises';
import type {PeerHeartbeat} from 'galenakeeld/process/membership.js';

const lives = 3;
const lookMilliseconds = 10;

type Pulse = {heardAt: number; intervalMilliseconds: number};

/**
What peers notice of one daemon's heartbeats.
*/
export type PulseWatch = {
	readonly hear: (peer: number, heartbeat: PeerHeartbeat) => void;
	/** Forgets what was noticed so far. */
	readonly reset: () => void;
	/** Heartbeats that came later than announced: a life is lost. */
	readonly late: () => number;
	/** Times that a peer would have taken the daemon for unreachable although it came back. */
	readonly falseAlarms: () => number;
	/** Waits until every peer has missed all lives, and returns the time that took. */
	readonly untilSilent: () => Promise<number>;
};

/**
Creates a watch over the heartbeats that all fake peers hear, with the rule by which daemons judge their peers: silence for the announced interval costs a life, and three lives make unreachable.
*/
export const createPulseWatch = (): PulseWatch => {
	const pulses = new Map<number, Pulse>();
	let late = 0;
	let falseAlarms = 0;

	const missed = ({heardAt, intervalMilliseconds}: Pulse, now: number): number => Math.floor((now - heardAt) / intervalMilliseconds);

	const hasNoLife = (): boolean => {
		const now = performance.now();
		return [...pulses.values()].every(pulse => missed(pulse, now) >= lives);
	};

	return {
		hear(peer, {intervalMilliseconds}) {
			const now = performance.now();
			const before = pulses.get(peer);
			const lost = before ? missed(before, now) : 0;
			// A timer that is due at the interval fires a little after it.
			late += before && now - before.heardAt > before.intervalMilliseconds * 1.1 ? 1 : 0;
			falseAlarms += lost >= lives ? 1 : 0;
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
			while (!hasNoLife()) {
				await sleep(lookMilliseconds);
			}

			return performance.now() - startedAt;
		},
	};
};
