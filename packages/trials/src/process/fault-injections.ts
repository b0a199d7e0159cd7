import {setTimeout as sleep} from 'node:timers/promises';
import {LinkState} from '@galenakeel/stand-ins/connection/fault-proxy.js';
import {EndpointBehaviour} from '@galenakeel/stand-ins/process/endpoint-stand-in.js';
import {StaleReads} from '@galenakeel/stand-ins/process/platform-stand-in.js';
import type {PlacedEndpoint} from './fleet.js';
import type {Trial} from './trial.js';

/**
A fault that lasts for a while and is then mended.
*/
export type FaultInjection = (trial: Trial) => Promise<void>;

const faultDurationMilliseconds = 400;

const pickEndpoint = ({random, fleet}: Trial): PlacedEndpoint => random.pick(fleet.endpoints);

/**
Has an endpoint misbehave for a while.
*/
export const injectBehaviour = (behaviour: EndpointBehaviour): FaultInjection => async trial => {
	const {standIn} = pickEndpoint(trial);
	standIn.behaviour = behaviour;
	await sleep(faultDurationMilliseconds);
	standIn.behaviour = EndpointBehaviour.Normal;
};

/**
Resets every connection to an endpoint, and refuses new ones for a while: to the daemons the endpoint was killed.
*/
export const killEndpoint: FaultInjection = async trial => {
	const {proxy} = pickEndpoint(trial);
	proxy!.faults.isRefusing = true;
	proxy!.cut();
	await sleep(faultDurationMilliseconds);
	proxy!.faults.isRefusing = false;
};

/**
Silences the open connections to an endpoint for good, while new ones work.
*/
export const silenceEndpoint: FaultInjection = async trial => {
	pickEndpoint(trial).proxy!.silenceOpen();
};

/**
Silences the open connections of one instance to the platform for good.
*/
export const silencePlatform: FaultInjection = async ({fleet, random, instances}) => {
	fleet.links!.toPlatform.get(random.pick(instances))!.silenceOpen();
};

/**
Cuts one instance off from the platform for a while.
*/
export const cutPlatform: FaultInjection = async ({fleet, random, instances}) => {
	const proxy = fleet.links!.toPlatform.get(random.pick(instances))!;
	proxy.faults.isRefusing = true;
	proxy.cut();
	await sleep(faultDurationMilliseconds);
	proxy.faults.isRefusing = false;
};

/**
Takes the platform down for a while.
*/
export const stopPlatform: FaultInjection = async ({fleet}) => {
	fleet.platform.faults.isDown = true;
	await sleep(faultDurationMilliseconds);
	fleet.platform.faults.isDown = false;
};

/**
Slows the platform down, some calls beyond their time-out.
*/
export const slowPlatform: FaultInjection = async ({fleet, random}) => {
	fleet.platform.faults.delayMilliseconds = random.integer(50, 400);
	await sleep(faultDurationMilliseconds);
	fleet.platform.faults.delayMilliseconds = 0;
};

/**
Loses the answers of the next transactions, which take effect.
*/
export const loseAnswers: FaultInjection = async ({fleet, random}) => {
	fleet.platform.faults.lostAnswers = random.integer(1, 4);
};

/**
Has reads answer from an earlier state for a while.
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
Swallows the bytes from one instance to another for a while, in one direction only.
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
Silences the open connections between two instances for good.
*/
export const silencePeers: FaultInjection = async ({fleet, random, instances}) => {
	const from = random.pick(instances);
	fleet.links!.between(from, random.pick(instances.filter(instance => instance !== from))).silenceOpen();
};

/**
Silences the open connections of the callers of one instance for good.
*/
export const silenceCallers: FaultInjection = async ({fleet, random, instances, disturbed}) => {
	const instance = random.pick(instances);
	disturbed.add(instance);
	fleet.links!.toCallers.get(instance)!.silenceOpen();
};

const endpointDisturbances: readonly FaultInjection[] = [
	...[EndpointBehaviour.FailAll, EndpointBehaviour.Freeze, EndpointBehaviour.HalfAnswer, EndpointBehaviour.NoLength].map(behaviour => injectBehaviour(behaviour)),
	killEndpoint,
	silenceEndpoint,
];

/**
Has endpoints fail in every way, at random times.
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
Brings about a second fault at a random time, or in one case of three none.
*/
export const injectRandomFault: FaultInjection = async trial => {
	const fault = trial.random.pick([...platformFaults, ...endpointFaults, ...linkFaults, ...Array.from({length: 7}, () => none)]);
	await trial.wait(faultDurationMilliseconds);
	await fault(trial);
};
