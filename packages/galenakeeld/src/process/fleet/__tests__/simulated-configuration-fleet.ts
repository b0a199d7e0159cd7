import {performance} from 'node:perf_hooks';
import {FleetMessageKind} from '@galenakeel/model/connection/fleet-message.js';
import {createConfigurationFollower, type ConfigurationFollower, type ConfigurationMessage} from '../configuration-follower.js';
import type {Peer} from '../fleet-view.js';
import {heartbeatIntervalBetween, longInterval, Urgency} from '../heartbeat-interval.js';
import {selectPeers, type PeerCandidate} from '../peer-selection.js';
import {createDescribedPeer} from './described-peer.js';
import type {SimulatedConfigurationStore} from './simulated-configuration-store.js';

/**
Daemons that follow one configuration, with the real follower and selection of peers, on the clock of the test.
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
	readonly configuration: ConfigurationFollower;
	readonly peers: Map<string, SimulatedPeer>;
	readonly receive: (from: string, message: ConfigurationMessage) => void;
	readonly planHeartbeats: () => void;
	readonly tick: () => void;
};

const ignore = (): void => undefined;

const describe = ({address, zone, isOwner}: PeerCandidate): SimulatedPeer => createDescribedPeer({address, zone, owned: new Map(isOwner ? [[zone, undefined]] : [])});

const tickMilliseconds = 100;
/** Time after which the daemons, which start together, know each other. */
const acquaintMilliseconds = 500;
const transitMilliseconds = 1;

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

	const send = (from: string, address: string, message: ConfigurationMessage): void => {
		setTimeout(() => {
			byAddress.get(address)?.receive(from, message);
		}, transitMilliseconds);
	};

	const createDaemon = (candidate: PeerCandidate): SimulatedDaemon => {
		const {address, zone} = candidate;
		const useLink = createLink(bodyMilliseconds);
		const peers = new Map<string, SimulatedPeer>();
		const heartbeats = new Map<string, {readonly intervalMilliseconds: number; dueAt: number}>();
		let list: readonly Peer[] | undefined;
		const startedAt = performance.now();
		const configuration = createConfigurationFollower({
			zone,
			applyMilliseconds,
			store: store.callsFor(address, useLink),
			peers() {
				list ??= [...peers.values()];
				return performance.now() - startedAt < acquaintMilliseconds ? [] : list;
			},
			recordVersions(from, versions) {
				recordVersions(peers.get(from)!, versions.installed, versions.newest);
			},
			isOwner: () => candidate.isOwner,
			send(to, message) {
				send(address, to, message as ConfigurationMessage);
			},
			async sendAlone(to, message) {
				bodies++;
				await useLink();
				send(address, to, message as ConfigurationMessage);
			},
			onInstall: ignore,
			onLost: ignore,
			onRegained: ignore,
			onRequested: ignore,
			random,
		});

		const receive = (from: string, message: ConfigurationMessage): void => {
			void (async () => {
				if (message.kind === FleetMessageKind.Configuration) {
					await useLink();
				}

				configuration.receive(message, from);
			})();
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
					recordVersions(byAddress.get(peer)!.peers.get(address)!, configuration.installed(), configuration.installed());
				}
			}
		};

		return {
			...candidate,
			configuration,
			peers,
			receive,
			planHeartbeats,
			tick() {
				sendHeartbeats();
				configuration.review();
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
				first.peers.set(second.address, describe(second));
				second.peers.set(first.address, describe(first));
			}
		}
	}

	for (const daemon of all) {
		daemon.planHeartbeats();
		void daemon.configuration.run();
		timers.push(setTimeout(() => {
			timers.push(setInterval(daemon.tick, tickMilliseconds));
		}, random() * tickMilliseconds));
	}

	return {
		behind: version => all.filter(({configuration}) => configuration.installed() < version).map(({address}) => address),
		bodies: () => bodies,
		close() {
			for (const timer of timers) {
				clearTimeout(timer);
				clearInterval(timer);
			}

			for (const {configuration} of all) {
				configuration.close();
			}
		},
	};
};
