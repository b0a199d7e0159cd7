import {setTimeout as sleep} from 'node:timers/promises';
import {LinkState} from '@galenakeel/stand-ins/connection/fault-proxy.js';
import {EndpointBehaviour} from '@galenakeel/stand-ins/process/endpoint-stand-in.js';
import {StaleReads} from '@galenakeel/stand-ins/process/platform-stand-in.js';
import type {PlacedEndpoint} from './fleet.js';
import type {Trial} from './trial.js';

/**
A fault that lasts for a while and is then mended.
*/
export type Disturbance = (trial: Trial) => Promise<void>;

const lastMilliseconds = 400;

const pickEndpoint = ({random, fleet}: Trial): PlacedEndpoint => random.pick(fleet.endpoints);

/**
Has an endpoint misbehave for a while.
*/
export const misbehave = (behaviour: EndpointBehaviour): Disturbance => async trial => {
	const {standIn} = pickEndpoint(trial);
	standIn.behaviour = behaviour;
	await sleep(lastMilliseconds);
	standIn.behaviour = EndpointBehaviour.Normal;
};

/**
Resets every connection to an endpoint, and refuses new ones for a while: to the daemons the endpoint was killed.
*/
export const killEndpoint: Disturbance = async trial => {
	const {proxy} = pickEndpoint(trial);
	proxy!.faults.isRefusing = true;
	proxy!.resetConnections();
	await sleep(lastMilliseconds);
	proxy!.faults.isRefusing = false;
};

/**
Silences the open connections to an endpoint for good, while new ones work.
*/
export const silenceEndpoint: Disturbance = async trial => {
	pickEndpoint(trial).proxy!.silenceOpenConnections();
};

/**
Silences the open connections of one instance to the platform for good.
*/
export const silencePlatform: Disturbance = async ({fleet, random, instances}) => {
	fleet.links!.toPlatform.get(random.pick(instances))!.silenceOpenConnections();
};

/**
Cuts one instance off from the platform for a while.
*/
export const cutPlatform: Disturbance = async ({fleet, random, instances}) => {
	const proxy = fleet.links!.toPlatform.get(random.pick(instances))!;
	proxy.faults.isRefusing = true;
	proxy.resetConnections();
	await sleep(lastMilliseconds);
	proxy.faults.isRefusing = false;
};

/**
Takes the platform down for a while.
*/
export const stopPlatform: Disturbance = async ({fleet}) => {
	fleet.platform.faults.isDown = true;
	await sleep(lastMilliseconds);
	fleet.platform.faults.isDown = false;
};

/**
Slows the platform down, some calls beyond their time-out.
*/
export const slowPlatform: Disturbance = async ({fleet, random}) => {
	fleet.platform.faults.delayMilliseconds = random.integer(50, 400);
	await sleep(lastMilliseconds);
	fleet.platform.faults.delayMilliseconds = 0;
};

/**
Loses the answers of the next transactions, which take effect.
*/
export const loseAnswers: Disturbance = async ({fleet, random}) => {
	fleet.platform.faults.lostAnswers = random.integer(1, 4);
};

/**
Has reads answer from an earlier state for a while.
*/
export const staleReads: Disturbance = async ({fleet}) => {
	const views = [...fleet.links?.platformView.values() ?? [], fleet.platform.address];
	for (const view of views) {
		fleet.platform.setStaleReads(view, StaleReads.All);
	}

	await sleep(lastMilliseconds);
	for (const view of views) {
		fleet.platform.setStaleReads(view, StaleReads.None);
	}
};

/**
Swallows the bytes from one instance to another for a while, in one direction only.
*/
export const cutOneWay: Disturbance = async ({fleet, random, instances}) => {
	const from = random.pick(instances);
	const to = random.pick(instances.filter(instance => instance !== from));
	const {faults} = fleet.links!.between(from, to);
	faults[random.pick(['forward', 'backward'] as const)] = LinkState.Silent;
	await sleep(lastMilliseconds);
	faults.forward = LinkState.Open;
	faults.backward = LinkState.Open;
};

/**
Silences the open connections between two instances for good.
*/
export const silencePeers: Disturbance = async ({fleet, random, instances}) => {
	const from = random.pick(instances);
	fleet.links!.between(from, random.pick(instances.filter(instance => instance !== from))).silenceOpenConnections();
};

/**
Silences the open connections of the callers of one instance for good.
*/
export const silenceCallers: Disturbance = async ({fleet, random, instances, disturbed}) => {
	const instance = random.pick(instances);
	disturbed.add(instance);
	fleet.links!.toCallers.get(instance)!.silenceOpenConnections();
};

const endpointDisturbances: readonly Disturbance[] = [
	...[EndpointBehaviour.FailAll, EndpointBehaviour.Freeze, EndpointBehaviour.HalfAnswer, EndpointBehaviour.NoLength].map(behaviour => misbehave(behaviour)),
	killEndpoint,
	silenceEndpoint,
];

/**
Has endpoints fail in every way, at random times.
*/
export const disturbEndpoints: Disturbance = async trial => {
	await Promise.all(endpointDisturbances.map(async fault => {
		await trial.wait(lastMilliseconds);
		await fault(trial);
	}));
};

const none: Disturbance = async () => undefined;

const platformFaults = [stopPlatform, slowPlatform, loseAnswers, staleReads, silencePlatform, cutPlatform];
const endpointFaults = [misbehave(EndpointBehaviour.Freeze), misbehave(EndpointBehaviour.HalfAnswer), misbehave(EndpointBehaviour.FailAll), killEndpoint, silenceEndpoint];
const linkFaults = [cutOneWay, silencePeers, silenceCallers];

/**
Brings about a second fault at a random time, or in one case of three none.
*/
export const disturb: Disturbance = async trial => {
	const fault = trial.random.pick([...platformFaults, ...endpointFaults, ...linkFaults, ...Array.from({length: 7}, () => none)]);
	await trial.wait(lastMilliseconds);
	await fault(trial);
};
