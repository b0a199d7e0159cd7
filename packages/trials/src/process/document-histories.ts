import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {FaultKind, isFault} from '@galenakeel/model/request/fault.js';
import {acceptDocument, readDocument, readHistory} from '@galenakeel/model/version/document-store.js';
import {StaleReads} from '@galenakeel/stand-ins/process/platform-stand-in.js';
import type {Violation} from '../request/check-history.js';
import type {History} from '../request/history.js';
import type {Random} from '../request/random.js';
import {ProvePoint} from '../version/prove-point.js';
import type {FaultHistory} from './fault-history.js';
import {startFleet, type Fleet} from './fleet.js';
import {startVersionWatch, type VersionWatch} from './version-watch.js';

const services = ['paysheet', 'quote-svc', 'penalty'];
const settleMilliseconds = 2500;
const readyTimeoutMilliseconds = 10_000;

const startDocumentFleet = async (): Promise<Fleet> => startFleet({
	zones: ['zone-a', 'zone-b'], daemonsPerZone: 1, endpointsPerZone: 1, slots: 4, isProxied: true,
});

const instancesOf = (fleet: Fleet): readonly string[] => fleet.daemons.map(({instance}) => instance);

const acceptRandomly = async (fleet: Fleet, watch: VersionWatch, random: Random, count: number): Promise<void> => {
	for (let change = 0; change < count; change++) {
		const sentAt = Date.now();
		const service = random.pick(services);
		const version = await fleet.accept(service, document => ({...document, deadlineMilliseconds: 30_000 + change}));
		watch.expect(service, version, sentAt);
		await sleep(random.integer(20, 150));
	}
};

/**
Creates a history in which documents are accepted while one daemon has a faulty view of the platform.

@param disturb Injects the fault; called when the first documents are in force.
*/
const createPlatformFaultHistory = (disturb: (fleet: Fleet, instance: string) => void): FaultHistory => async (history, random) => {
	const fleet = await startDocumentFleet();
	try {
		const watch = startVersionWatch(fleet, history, instancesOf(fleet));
		await acceptRandomly(fleet, watch, random, 3);
		await sleep(1000);
		disturb(fleet, random.pick(fleet.daemons).instance);
		await acceptRandomly(fleet, watch, random, 6);
		await sleep(settleMilliseconds);
		return await watch.stop();
	} finally {
		await fleet.stop();
	}
};

const viewOf = (fleet: Fleet, instance: string): string => fleet.links!.platformView.get(instance)!;

const cutFromPlatform = (fleet: Fleet, instance: string): void => {
	const proxy = fleet.links!.toPlatform.get(instance)!;
	proxy.faults.isRefusing = true;
	proxy.resetConnections();
};

const platformWhole = createPlatformFaultHistory(() => {
	// Baseline without a fault.
});

const staleReads = createPlatformFaultHistory((fleet, instance) => {
	fleet.platform.setStaleReads(viewOf(fleet, instance), StaleReads.All);
});

const staleScans = createPlatformFaultHistory((fleet, instance) => {
	fleet.platform.setStaleReads(viewOf(fleet, instance), StaleReads.Scans);
});

const learnedFromPeerOnly = createPlatformFaultHistory(cutFromPlatform);

/**
Kills and restarts a daemon while the platform is down: the new process must fetch the documents from its peer.
*/
const restartInOutage: FaultHistory = async (history, random) => {
	const fleet = await startDocumentFleet();
	try {
		const instances = instancesOf(fleet);
		const watch = startVersionWatch(fleet, history, instances);
		await acceptRandomly(fleet, watch, random, 4);
		await sleep(1500);
		fleet.platform.faults.isDown = true;
		const daemon = random.pick(fleet.daemons);
		daemon.signal('SIGKILL');
		await daemon.exited;
		const restarted = await fleet.restart(daemon.instance);
		await restarted.untilReady(readyTimeoutMilliseconds);
		const [first, second] = await Promise.all(fleet.daemons.map(async ({status}) => status()));
		const violations = await watch.stop();
		return first!.catalogueVersion === second!.catalogueVersion
			? violations
			: [...violations, {point: ProvePoint.DocumentInForce, detail: `${daemon.instance} became ready with a catalogue version that differs from its peer's`}];
	} finally {
		await fleet.stop();
	}
};

type Attempt = {readonly version: number | undefined; readonly fault: FaultKind | undefined};

const attempt = async (fleet: Fleet, proposal: {service: string; seenVersion: number; note: string}): Promise<Attempt> => {
	const endpoints = {'zone-a': [{name: 'worker', address: fleet.endpoints[0]!.address}]};
	const text = JSON.stringify({
		service: proposal.service, team: proposal.note, endpoints,
	});
	try {
		const version = await acceptDocument(fleet.client, {
			text, seenVersion: proposal.seenVersion, author: proposal.note, nonce: randomUUID(),
		});
		return {version, fault: undefined};
	} catch (error) {
		return {version: undefined, fault: isFault(error) ? error.name : FaultKind.Internal};
	}
};

const checkRace = (service: string, attempts: readonly Attempt[]): readonly Violation[] => {
	const winners = attempts.filter(({version}) => version !== undefined);
	const losers = attempts.filter(({fault}) => fault === FaultKind.DocumentConflict);
	return winners.length === 1 && losers.length === attempts.length - 1
		? []
		: [{point: ProvePoint.DocumentInForce, detail: `of ${attempts.length} operators of "${service}" ${winners.length} succeeded and ${losers.length} got a document conflict`}];
};

const checkKept = async (fleet: Fleet, won: ReadonlyMap<number, string>): Promise<readonly Violation[]> => {
	const entries = await Promise.all(services.map(async service => readHistory(fleet.client, service)));
	const kept = new Set(entries.flat().map(({version}) => version));
	return [...won]
		.filter(([version]) => !kept.has(version))
		.map(([version, service]) => ({point: ProvePoint.DocumentInForce, detail: `version ${version} of "${service}" was accepted but is missing from the document history`}));
};

/**
Lets two operators change the same document from the same version at the same time, in some rounds with one lost answer of the platform. Exactly one must succeed.
*/
const raceOperators = async (fleet: Fleet, history: History, watch: VersionWatch, random: Random): Promise<readonly Violation[]> => {
	const won = new Map<number, string>();
	const violations: Violation[] = [];
	for (let round = 0; round < 8; round++) {
		const service = random.pick(services);
		const current = await readDocument(fleet.client, service);
		fleet.platform.faults.lostAnswers = random.integer(0, 1);
		const sentAt = Date.now();
		const attempts = await Promise.all(['roisin', 'bat-erdene'].map(async note => attempt(fleet, {service, seenVersion: current?.version ?? 0, note})));
		violations.push(...checkRace(service, attempts));
		for (const {version} of attempts) {
			if (version === undefined) {
				history.accepts.push({sentAt, endedAt: Date.now(), version});
			} else {
				won.set(version, service);
				watch.expect(service, version, sentAt);
			}
		}
	}

	return [...violations, ...await checkKept(fleet, won)];
};

const operatorsRace: FaultHistory = async (history, random) => {
	const fleet = await startDocumentFleet();
	try {
		const watch = startVersionWatch(fleet, history, instancesOf(fleet));
		const violations = await raceOperators(fleet, history, watch, random);
		await sleep(1500);
		return [...violations, ...await watch.stop()];
	} finally {
		await fleet.stop();
	}
};

/**
Histories in which documents are accepted and must come into force on every daemon.
*/
export const documentHistories: readonly FaultHistory[] = [platformWhole, staleReads, staleScans, learnedFromPeerOnly, restartInOutage, operatorsRace];
