import {Flags} from '@oclif/core';

/**
Flags of every command that reaches the platform.
*/
export const platformFlags = {
	platform: Flags.string({
		description: 'address of the platform, as an IP number and a port', env: 'GALENAKEEL_PLATFORM', required: true, helpValue: '10.1.2.3:7000',
	}),
	timeout: Flags.integer({
		description: 'time that the platform and each instance have to answer, in milliseconds', default: 2000, min: 1,
	}),
};
