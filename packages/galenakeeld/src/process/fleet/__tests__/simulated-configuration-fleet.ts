import {performance} from 'node:perf_hooks';
import {FleetMessageKind, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import type {QueueConfiguration} from '@galenakeel/model/version/queue-configuration.js';
import {createConfigurationAnnouncements, newestVersionOf} from '../configuration-announcements.js';
import {createConfigurationCatchUp, type ConfigurationCatchUp} from '../configuration-catch-up.js';
import {createConfigurationTransfers} from '../configuration-transfers.js';
import {createConfigurationWatch, type ConfigurationWatch} from '../configuration-watch.js';
import type {Peer} from '../fleet-view.js';
import {heartbeatIntervalBetween, longInterval, Urgency} from '../heartbeat-interval.js';
import {selectPeers, type PeerCandidate} from '../peer-selection.js';
import type {SimulatedConfigurationStore} from './simulated-configuration-store.js';

/**
Daemons that follow one configuration, with the real watch, announcements and selection of peers, on the clock of the test.
*/
export type SimulatedConfigurationFleet = {
	/** Names of the daemons that have not installed a version. */
	readonly behind: (version: number) => readonly string[];
	/** Whole configurations that were sent from daemon to daemon. */
	readonly bodies: () => number;
	readonly close: () => void;
};

export type SimulatedFleetOptions = {
	readonly daemons: number;
	readonly zones: number;
	readonly ownersPerZone: number;
	readonly store: SimulatedConfigurationStore;
	/** Time that a whole configuration takes on the link of a daemon, in milliseconds. */
	readonly bodyMilliseconds: number;
	readonly applyMilliseconds: number;
	readonly random: () => number;
};

/** A peer whose version changes in place, as in the view of a daemon. */
type SimulatedPeer = Omit<Peer, 'configurationVersion' | 'newestVersion'> & {configurationVersion: number; newestVersion: number};

type SimulatedDaemon = PeerCandidate & {
	readonly watch: ConfigurationWatch;
	readonly catchUp: ConfigurationCatchUp;
	readonly peers: Map<string, SimulatedPeer>;
	readonly receive: (from: string, message: FleetMessage) => void;
	readonly planHeartbeats: () => void;
	readonly tick: () => void;
};

const ignore = (): void => undefined;

const tickMilliseconds = 100;
const transitMilliseconds = 1;

const createPeer = ({address, zone, isOwner}: PeerCandidate): SimulatedPeer => ({
	instance: address, address, zone, startedAt: 1, processor: 1000, silentAfterMilliseconds: 700, neededSilenceMilliseconds: 700, pausesBefore: 0, isLeaving: false,
	claims: new Map(isOwner ? [[zone, {token: 1, term: 1}]] : []), loads: new Map(), loadsUpdatedAt: 0, configurationVersion: 1, newestVersion: 1, known: [], lastHeartbeatAt: 0,
});

const recordVersions = (peer: SimulatedPeer, installed: number, newest: number): void => {
	peer.configurationVersion = installed;
	peer.newestVersion = Math.max(peer.newestVersion, newest);
};

/** A link that carries one whole configuration after the other. */
const createLink = (bodyMilliseconds: number) => {
	let freeAt = 0;
	return async (): Promise<void> => {
		freeAt = Math.max(freeAt, performance.now()) + bodyMilliseconds;
		await new Promise(resolve => {
			setTimeout(resolve, freeAt - performance.now());
		});
	};
};

/**
Starts the daemons.
*/
export const createSimulatedConfigurationFleet = ({daemons: count, zones, ownersPerZone, store, bodyMilliseconds, applyMilliseconds, random}: SimulatedFleetOptions): SimulatedConfigurationFleet => {
	const candidates: readonly PeerCandidate[] = Array.from({length: count}, (_, position) => ({
		address: `d${position}`, zone: `z${position % zones}`, isOwner: Math.floor(position / zones) < ownersPerZone,
	}));
	const byAddress = new Map<string, SimulatedDaemon>();
	const timers: NodeJS.Timeout[] = [];
	let bodies = 0;

	const selected = new Map(candidates.map(candidate => [candidate.address, new Set(selectPeers(candidate, candidates))]));

	const areConnected = (first: PeerCandidate, second: PeerCandidate): boolean =>
		selected.get(first.address)!.has(second.address) || selected.get(second.address)!.has(first.address);

	const send = (from: string, address: string, message: FleetMessage): void => {
		setTimeout(() => {
			byAddress.get(address)?.receive(from, message);
		}, transitMilliseconds);
	};

	const createDaemon = (candidate: PeerCandidate): SimulatedDaemon => {
		const {address, zone} = candidate;
		const useLink = createLink(bodyMilliseconds);
		const peers = new Map<string, SimulatedPeer>();
		const heartbeats = new Map<string, {readonly intervalMilliseconds: number; dueAt: number}>();
		const watch = createConfigurationWatch(store.callsFor(address, useLink), {
			onInstall() {
				catchUp.recordInstalled();
			},
			onLost: ignore,
			onRegained: ignore,
			daemons: () => peers.size + 1,
			random,
		});
		const versionOf = (): number => watch.current()?.version ?? -1;
		let list: readonly Peer[] | undefined;
		const allPeers = (): readonly Peer[] => {
			list ??= [...peers.values()];
			return list;
		};

		const newestVersion = (): number => newestVersionOf(versionOf(), allPeers());
		const catchUp = createConfigurationCatchUp({
			zone, installed: versionOf, newest: newestVersion, peers: allPeers, read: watch.read, applyMilliseconds, random, request(to) {
				send(address, to, {kind: FleetMessageKind.ConfigurationRequest});
			},
		});
		const announce = createConfigurationAnnouncements({
			zone, installed: versionOf, newest: newestVersion, isOwner: () => candidate.isOwner, peers: allPeers, send(to, message) {
				send(address, to, message);
			},
		});
		const sendConfiguration = createConfigurationTransfers({
			current: watch.current, async sendAlone(to, message) {
				bodies++;
				await useLink();
				send(address, to, message);
			},
		});

		const receive = (from: string, message: FleetMessage): void => {
			if (message.kind === FleetMessageKind.ConfigurationVersion) {
				recordVersions(peers.get(from)!, message.installed, message.newest);
				announce();
				catchUp.review();
			}

			if (message.kind === FleetMessageKind.ConfigurationRequest) {
				void sendConfiguration(from);
			}

			if (message.kind === FleetMessageKind.Configuration) {
				void offerAfterTransfer(message.configuration);
			}
		};

		const offerAfterTransfer = async (configuration: QueueConfiguration): Promise<void> => {
			await useLink();
			watch.offer(configuration);
		};

		const planHeartbeats = (): void => {
			for (const peer of peers.values()) {
				const role = {zone: peer.zone, isOwner: peer.claims.size > 0};
				const {heartbeatMilliseconds} = heartbeatIntervalBetween(candidate, role, longInterval.silentAfterMilliseconds, Urgency.None);
				heartbeats.set(peer.address, {intervalMilliseconds: heartbeatMilliseconds, dueAt: performance.now() + (random() * heartbeatMilliseconds)});
			}
		};

		const sendHeartbeats = (): void => {
			const now = performance.now();
			for (const [peer, heartbeat] of heartbeats) {
				if (now >= heartbeat.dueAt) {
					heartbeat.dueAt += heartbeat.intervalMilliseconds;
					recordVersions(byAddress.get(peer)!.peers.get(address)!, versionOf(), versionOf());
				}
			}
		};

		return {
			...candidate,
			watch,
			catchUp,
			peers,
			receive,
			planHeartbeats,
			tick() {
				sendHeartbeats();
				announce();
				catchUp.review();
			},
		};
	};

	for (const candidate of candidates) {
		byAddress.set(candidate.address, createDaemon(candidate));
	}

	const all = [...byAddress.values()];
	for (const [position, first] of all.entries()) {
		for (const second of all.slice(position + 1)) {
			if (areConnected(first, second)) {
				first.peers.set(second.address, createPeer(second));
				second.peers.set(first.address, createPeer(first));
			}
		}
	}

	for (const daemon of all) {
		daemon.planHeartbeats();
		void daemon.watch.run();
		void daemon.catchUp.run();
		timers.push(setTimeout(() => {
			timers.push(setInterval(daemon.tick, tickMilliseconds));
		}, random() * tickMilliseconds));
	}

	return {
		behind: version => all.filter(({watch}) => (watch.current()?.version ?? -1) < version).map(({address}) => address),
		bodies: () => bodies,
		close() {
			for (const timer of timers) {
				clearTimeout(timer);
				clearInterval(timer);
			}

			for (const {watch, catchUp} of all) {
				watch.close();
				catchUp.close();
			}
		},
	};
};
