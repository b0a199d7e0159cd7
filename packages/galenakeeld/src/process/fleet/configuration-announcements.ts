import {performance} from 'node:perf_hooks';
import {FleetMessageKind, type ConfigurationVersion, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import type {Peer} from './fleet-view.js';

export type ConfigurationAnnouncementsOptions = {
	/** Zone of this daemon. */
	readonly zone: string;
	/** Version of the installed configuration; -1 while there is none. */
	readonly installed: () => number;
	/** The newest version that this daemon has installed or heard of. */
	readonly newest: () => number;
	/** Whether this daemon owns a cell. */
	readonly isOwner: () => boolean;
	readonly peers: () => readonly Peer[];
	readonly send: (address: string, message: FleetMessage) => void;
};

/** What a peer was told, and when in monotonic milliseconds. */
type Announcement = Pick<ConfigurationVersion, 'installed' | 'newest'> & {readonly at: number};

/** Time after which a version is announced again to a peer that has not confirmed it. */
const repeatMilliseconds = 1000;

/**
Returns the newest version of the configuration that is installed here or that peers have told of.
*/
export const newestVersionOf = (installed: number, peers: readonly Peer[]): number => {
	let newest = installed;
	for (const {newestVersion} of peers) {
		newest = Math.max(newest, newestVersion);
	}

	return newest;
};

/**
Creates a function that announces versions of the configuration to peers of the zone and, by an owner, to the owners of other zones: the newest version to those that are not known to have heard of it, and the installed one to those that are not known to have it and may ask for it. A daemon passes a version on before it has installed it, so that all hear of it in a few steps, whatever their number. The configuration itself isn't sent.

@example
```
const announceConfiguration = createConfigurationAnnouncements({zone: 'north', installed: () => 7, newest: () => 8, isOwner: () => cells.count() > 0, peers: view.all, send: links.send});
const timer = setInterval(announceConfiguration, 100);
```
*/
export const createConfigurationAnnouncements = ({zone, installed, newest, isOwner, peers, send}: ConfigurationAnnouncementsOptions) => {
	/** The last announcement to each peer that has not confirmed it, by address. */
	let announced: ReadonlyMap<string, Announcement> = new Map();

	const isAddressee = (peer: Peer): boolean => peer.zone === zone || (isOwner() && peer.claims.size > 0);

	const announce = (address: string, announcement: Announcement): Announcement => {
		const last = announced.get(address);
		if (last?.installed === announcement.installed && last.newest === announcement.newest && announcement.at - last.at < repeatMilliseconds) {
			return last;
		}

		send(address, {kind: FleetMessageKind.ConfigurationVersion, installed: announcement.installed, newest: announcement.newest});
		return announcement;
	};

	return (): void => {
		const announcement = {installed: installed(), newest: newest(), at: performance.now()};
		const unaware = peers().filter(peer => (peer.newestVersion < announcement.newest || peer.configurationVersion < announcement.installed) && isAddressee(peer));
		announced = new Map(unaware.map(({address}) => [address, announce(address, announcement)]));
	};
};
