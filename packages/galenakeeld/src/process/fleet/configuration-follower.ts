import {FleetMessageKind, type ConfigurationVersion, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import type {StoreCalls} from '@galenakeel/model/connection/store-calls.js';
import type {QueueConfiguration} from '@galenakeel/model/version/queue-configuration.js';
import {createConfigurationAnnouncements, newestVersionOf} from './configuration-announcements.js';
import {createConfigurationCatchUp} from './configuration-catch-up.js';
import {createConfigurationTransfers} from './configuration-transfers.js';
import {createConfigurationWatch, type ConfigurationWatch} from './configuration-watch.js';
import type {Peer} from './fleet-view.js';

/**
A message between daemons about the configuration.
*/
export type ConfigurationMessage = Extract<FleetMessage, {readonly kind: FleetMessageKind.Configuration | FleetMessageKind.ConfigurationRequest | FleetMessageKind.ConfigurationVersion}>;

/**
Keeps the configuration of this daemon up to date, from the store and with the help of peers.
*/
export type ConfigurationFollower = Pick<ConfigurationWatch, 'ageMilliseconds' | 'current'> & {
	/** Version of the installed configuration; -1 while there is none. */
	readonly installed: () => number;
	/** Whether no peer has told of a version that isn't installed here. */
	readonly isNewest: () => boolean;
	readonly receive: (message: ConfigurationMessage, from: string) => void;
	/** Announces versions and begins to catch up where that is due; call it regularly. */
	readonly review: () => void;
	/** Follows the store and the peers until `close` is called. */
	readonly run: () => Promise<void>;
	readonly close: () => void;
};

export type ConfigurationFollowerOptions = {
	/** Zone of this daemon. */
	readonly zone: string;
	/** Time within which a version is to be in force, in milliseconds. */
	readonly applyMilliseconds: number;
	readonly store: Pick<StoreCalls, 'awaitConfiguration' | 'readConfiguration'>;
	readonly peers: () => readonly Peer[];
	/** Records what a peer has told of its versions. */
	readonly recordVersions: (address: string, versions: Pick<ConfigurationVersion, 'installed' | 'newest'>) => void;
	/** Whether this daemon owns a cell. */
	readonly isOwner: () => boolean;
	readonly send: (address: string, message: FleetMessage) => void;
	/** Sends a message on a connection of its own; rejects if the peer doesn't read it in time. */
	readonly sendAlone: (address: string, message: FleetMessage) => Promise<void>;
	readonly onInstall: (configuration: QueueConfiguration) => void;
	/** Called once per outage, when a call of the store first fails. */
	readonly onLost: (detail: string) => void;
	readonly onRegained: () => void;
	/** Called when a peer is asked for its configuration. */
	readonly onRequested: (address: string, versions: Pick<ConfigurationVersion, 'installed' | 'newest'>) => void;
	/** Returns a number from 0, inclusive, to 1, exclusive. */
	readonly random: () => number;
};

/**
Creates a follower without a configuration.

@example
```
const configuration = createConfigurationFollower(options);
void configuration.run();
const timer = setInterval(configuration.review, 100);
```
*/
export const createConfigurationFollower = (options: ConfigurationFollowerOptions): ConfigurationFollower => {
	const {zone, applyMilliseconds, peers, isOwner, send, random} = options;
	const watch = createConfigurationWatch(options.store, {
		onInstall(configuration) {
			options.onInstall(configuration);
			catchUp.recordInstalled();
		},
		onLost: options.onLost,
		onRegained: options.onRegained,
		daemons: () => peers().length + 1,
		random,
	});
	const installed = (): number => watch.current()?.version ?? -1;
	const newest = (): number => newestVersionOf(installed(), peers());
	const catchUp = createConfigurationCatchUp({
		zone, installed, newest, peers, read: watch.read, applyMilliseconds, random, request(address) {
			send(address, {kind: FleetMessageKind.ConfigurationRequest});
			options.onRequested(address, {installed: installed(), newest: newest()});
		},
	});
	const announce = createConfigurationAnnouncements({
		zone, installed, newest, isOwner, peers, send,
	});
	const transfer = createConfigurationTransfers({current: watch.current, sendAlone: options.sendAlone});

	return {
		current: watch.current,
		ageMilliseconds: watch.ageMilliseconds,
		installed,
		isNewest: () => installed() >= newest(),
		receive(message, from) {
			switch (message.kind) {
				case FleetMessageKind.ConfigurationVersion: {
					options.recordVersions(from, message);
					announce();
					catchUp.review();
					break;
				}

				case FleetMessageKind.ConfigurationRequest: {
					void transfer(from);
					break;
				}

				case FleetMessageKind.Configuration: {
					watch.offer(message.configuration);
				}
			}
		},
		review() {
			announce();
			catchUp.review();
		},
		async run() {
			await Promise.all([watch.run(), catchUp.run()]);
		},
		close() {
			watch.close();
			catchUp.close();
		},
	};
};
