import {Flags} from '@oclif/core';
import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import {addressRemedy, isAddress} from '@galenakeel/model/version/address-schema.js';

const parseAddress = async (text: string): Promise<string> => {
	if (!isAddress(text)) {
		throw createFault(FaultKind.InvalidConfiguration, `the address "${text}" ${addressRemedy}`);
	}

	return text;
};

/**
Flags that every command accepts.
*/
export const operatorFlags = {
	settings: Flags.string({
		description: 'file with the operator\'s settings, JSON with comments', env: 'GALENAKEEL_SETTINGS', helpValue: 'FILE', helpGroup: 'GLOBAL',
	}),
	platform: Flags.string({
		description: 'address of the platform, as an IP number and a port', env: 'GALENAKEEL_PLATFORM', helpValue: '10.1.2.3:7000', helpGroup: 'GLOBAL', parse: parseAddress,
	}),
	timeout: Flags.integer({
		description: 'maximum time to wait for an answer of the platform or an instance, in milliseconds', min: 1, helpGroup: 'GLOBAL',
	}),
};

/**
Flags of the commands that query the entry instances.
*/
export const instanceFlags = {
	instance: Flags.string({
		description: 'operators\' port of an instance, used if the platform is unavailable or not given; can be given several times', multiple: true, helpValue: '10.1.2.3:8002', parse: parseAddress,
	}),
};

/**
Flags of the commands that act as a caller of the dispatcher.
*/
export const callerFlags = {
	callers: Flags.string({
		description: 'address that accepts jobs: the load balancer, or the callers\' port of an instance', env: 'GALENAKEEL_CALLERS', helpValue: '10.1.2.3:8000', parse: parseAddress,
	}),
};
