import {setTimeout as sleep} from 'node:timers/promises';
import {LinkState} from '@galenakeel/stand-ins/connection/fault-proxy.js';
import {EndpointBehaviour} from '@galenakeel/stand-ins/process/endpoint-stand-in.js';
import {StaleReads} from '@galenakeel/stand-ins/process/platform-stand-in.js';
import type {PlacedEndpoint} from './fleet.js';
import type {Trial} from './trial.js';

/**
Injects a fault into a trial. Most faults end after `faultDurationMilliseconds`; connections that are silenced stay so.
*/
export type FaultInjection = (trial: Trial) => Promise<void>;

const faultDurationMilliseconds = 400;

const pickEndpoint = ({random, fleet}: Trial): PlacedEndpoint => random.pick(fleet.endpoints);

/**
Gives a random endpoint another behaviour for a limited time.
*/
export const injectBehaviour = (behaviour: EndpointBehaviour): FaultInjection => async trial => {
	const {standIn} = pickEndpoint(trial);
	standIn.behaviour = behaviour;
	await sleep(faultDurationMilliseconds);
	standIn.behaviour = EndpointBehaviour.Normal;
};

/**
Resets every connection to an endpoint and refuses new ones for a limited time, as if the endpoint had been killed.
*/
export const killEndpoint: FaultInjection = async trial => {
	const {proxy} = pickEndpoint(trial);
	proxy!.faults.isRefusing = true;
	proxy!.resetConnections();
	await sleep(faultDurationMilliseconds);
	proxy!.faults.isRefusing = false;
};

/**
Permanently stops all traffic on the open connections to an endpoint; new connections work.
*/
export const silenceEndpoint: FaultInjection = async trial => {
	pickEndpoint(trial).proxy!.silenceOpenConnections();
};

/**
Permanently stops all traffic on the open connections from one instance to the platform.
*/
export const silencePlatform: FaultInjection = async ({fleet, random, instances}) => {
	fleet.links!.toPlatform.get(random.pick(instances))!.silenceOpenConnections();
};

/**
Disconnects one instance from the platform for a limited time.
*/
export const cutPlatform: FaultInjection = async ({fleet, random, instances}) => {
	const proxy = fleet.links!.toPlatform.get(random.pick(instances))!;
	proxy.faults.isRefusing = true;
	proxy.resetConnections();
	await sleep(faultDurationMilliseconds);
	proxy.faults.isRefusing = false;
};

/**
Makes the platform unavailable for a limited time.
*/
export const stopPlatform: FaultInjection = async ({fleet}) => {
	fleet.platform.faults.isDown = true;
	await sleep(faultDurationMilliseconds);
	fleet.platform.faults.isDown = false;
};

/**
Delays every call to the platform by 50 to 400 ms, so that some exceed their time-out.
*/
export const slowPlatform: FaultInjection = async ({fleet, random}) => {
	fleet.platform.faults.delayMilliseconds = random.integer(50, 400);
	await sleep(faultDurationMilliseconds);
	fleet.platform.faults.delayMilliseconds = 0;
};

/**
Commits the next transactions on the platform but drops their answers.
*/
export const loseAnswers: FaultInjection = async ({fleet, random}) => {
	fleet.platform.faults.lostAnswers = random.integer(1, 4);
};

/**
Makes the platform answer reads from an earlier state for a limited time.
*/
export const staleReads: FaultInjection = async ({fleet}) => {
	const views = [...fleet.links?.platformView.values() ?? [], fleet.platform.address];
	for (const view of views) {
		fleet.platform.setStaleReads(view, StaleReads.All);
	}

	await sleep(faultDurationMilliseconds);
	for (const view of views) {
		fleet.platform.setStaleReads(view, StaleReads.None);
	}
};

/**
Drops the bytes between two instances in one direction for a limited time.
*/
export const blockOneWay: FaultInjection = async ({fleet, random, instances}) => {
	const from = random.pick(instances);
	const to = random.pick(instances.filter(instance => instance !== from));
	const {faults} = fleet.links!.between(from, to);
	faults[random.pick(['forward', 'backward'] as const)] = LinkState.Silent;
	await sleep(faultDurationMilliseconds);
	faults.forward = LinkState.Open;
	faults.backward = LinkState.Open;
};

/**
Permanently stops all traffic on the open connections from one instance to another.
*/
export const silencePeers: FaultInjection = async ({fleet, random, instances}) => {
	const from = random.pick(instances);
	fleet.links!.between(from, random.pick(instances.filter(instance => instance !== from))).silenceOpenConnections();
};

/**
Permanently stops all traffic on the open connections between callers and one instance.
*/
export const silenceCallers: FaultInjection = async ({fleet, random, instances, disturbed}) => {
	const instance = random.pick(instances);
	disturbed.add(instance);
	fleet.links!.toCallers.get(instance)!.silenceOpenConnections();
};

const endpointDisturbances: readonly FaultInjection[] = [
	...[EndpointBehaviour.FailAll, EndpointBehaviour.Freeze, EndpointBehaviour.HalfAnswer, EndpointBehaviour.NoLength].map(behaviour => injectBehaviour(behaviour)),
	killEndpoint,
	silenceEndpoint,
];

/**
Injects every kind of endpoint fault, each at a random time.
*/
export const injectEndpointFaults: FaultInjection = async trial => {
	await Promise.all(endpointDisturbances.map(async fault => {
		await trial.wait(faultDurationMilliseconds);
		await fault(trial);
	}));
};

const none: FaultInjection = async () => undefined;

const platformFaults = [stopPlatform, slowPlatform, loseAnswers, staleReads, silencePlatform, cutPlatform];
const endpointFaults = [injectBehaviour(EndpointBehaviour.Freeze), injectBehaviour(EndpointBehaviour.HalfAnswer), injectBehaviour(EndpointBehaviour.FailAll), killEndpoint, silenceEndpoint];
const linkFaults = [blockOneWay, silencePeers, silenceCallers];

/**
Injects a randomly chosen second fault at a random time, or none in one of three cases.
*/
export const injectRandomFault: FaultInjection = async trial => {
	const fault = trial.random.pick([...platformFaults, ...endpointFaults, ...linkFaults, ...Array.from({length: 7}, () => none)]);
	await trial.wait(faultDurationMilliseconds);
	await fault(trial);
};
