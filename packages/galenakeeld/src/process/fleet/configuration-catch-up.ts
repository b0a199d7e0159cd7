import {setTimeout as sleep} from 'node:timers/promises';
import {createNotification} from './notification.js';
import type {Peer} from './fleet-view.js';

/**
Obtains a version of the configuration that peers have told of and that the watch of the store hasn't delivered.
*/
export type ConfigurationCatchUp = {
	/** Begins to catch up if there is a newer version. */
	readonly review: () => void;
	/** Ends the wait for a version that has been installed. */
	readonly recordInstalled: () => void;
	/** Catches up as often as it is necessary until `close` is called. */
	readonly run: () => Promise<void>;
	readonly close: () => void;
};

export type ConfigurationCatchUpOptions = {
	/** Zone of this daemon. */
	readonly zone: string;
	/** Version of the installed configuration; -1 while there is none. */
	readonly installed: () => number;
	/** The newest version that this daemon has installed or heard of. */
	readonly newest: () => number;
	readonly peers: () => readonly Peer[];
	/** Reads the configuration from the store; rejects if the store doesn't serve this daemon. */
	readonly read: () => Promise<void>;
	/** Asks a peer for its configuration. */
	readonly request: (address: string) => void;
	/** Time within which a version is to be in force, in milliseconds. */
	readonly applyMilliseconds: number;
	/** Returns a number from 0, inclusive, to 1, exclusive, by which a peer is chosen. */
	readonly random: () => number;
};

/** Share of the time within which a version is to be in force, for the watch to deliver it first. */
const watchShare = 0.125;
/** The same for a peer to send it at the first attempt. Later ones wait longer, in proportion to their number. */
const peerShare = 0.375;
const idleMilliseconds = 1000;

/**
Creates the task that catches up: it leaves the watch time to deliver the version, then reads the store, and asks a peer that has the version if the store doesn't yield it.

@example
```
const catchUp = createConfigurationCatchUp({zone: 'north', installed: () => 7, newest: () => 8, peers: view.all, read: configuration.read, request, applyMilliseconds: 2000, random: Math.random});
void catchUp.run();
```
*/
export const createConfigurationCatchUp = ({zone, installed, newest, peers, read, request, applyMilliseconds, random}: ConfigurationCatchUpOptions): ConfigurationCatchUp => {
	const behind = createNotification();
	const installation = createNotification();
	const closing = new AbortController();

	const isBehind = (): boolean => !closing.signal.aborted && installed() < newest();

	/** A peer that has installed a newer version, of this zone if there is one. */
	const choosePeer = (): Peer | undefined => {
		const ahead = peers().filter(({configurationVersion}) => configurationVersion > installed());
		const ofZone = ahead.filter(peer => peer.zone === zone);
		const candidates = ofZone.length > 0 ? ofZone : ahead;
		return candidates[Math.floor(random() * candidates.length)];
	};

	const readStore = async (): Promise<void> => {
		try {
			await read();
		} catch {
			// The watch reports outages of the store.
		}
	};

	const askPeer = (): void => {
		const peer = choosePeer();
		if (peer) {
			request(peer.address);
		}
	};

	const catchUp = async (): Promise<void> => {
		await sleep(applyMilliseconds * watchShare);
		for (let attempt = 1; isBehind(); attempt++) {
			await readStore();
			if (isBehind()) {
				askPeer();
				await installation.wait(applyMilliseconds * peerShare * attempt);
			}
		}
	};

	return {
		review() {
			if (isBehind()) {
				behind.notify();
			}
		},
		recordInstalled: installation.notify,
		async run() {
			while (!closing.signal.aborted) {
				await behind.wait(idleMilliseconds);
				if (isBehind()) {
					await catchUp();
				}
			}
		},
		close() {
			closing.abort();
			installation.notify();
		},
	};
};
