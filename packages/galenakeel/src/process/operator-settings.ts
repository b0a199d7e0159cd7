import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import {addressSchema} from '@galenakeel/model/version/address-schema.js';
import {parseConfiguration} from '@galenakeel/model/version/configuration-text.js';
import {z} from 'zod';

const milliseconds = z.number().int().positive();
const defaultTimeoutMilliseconds = 2000;

const settingsSchema = z.strictObject({
	platform: z.strictObject({
		address: addressSchema.optional(),
		/** Timeout of a call to the platform. */
		timeoutMilliseconds: milliseconds.default(defaultTimeoutMilliseconds),
	}).prefault({}),
	instances: z.strictObject({
		/** Timeout of a call to an entry instance. */
		timeoutMilliseconds: milliseconds.default(defaultTimeoutMilliseconds),
		/** Addresses of the entry instances' operators' ports, used when the platform is unavailable or its address is not given. */
		operators: z.array(addressSchema).default([]),
	}).prefault({}),
	callers: z.strictObject({
		/** Address that accepts jobs: the load balancer, or the callers' port of an instance. */
		address: addressSchema.optional(),
	}).prefault({}),
});

/**
Settings of the command line, read from a file of JSON with comments.
*/
export type OperatorSettings = z.infer<typeof settingsSchema>;

/**
Parses and validates the text of an operator's settings file.

@throws A fault of kind `InvalidConfiguration` that names the line and column of every error.

@example
```
const settings = parseOperatorSettings('{"platform": {"address": "10.1.2.3:7000"}}', 'galenakeel.jsonc');
```
*/
export const parseOperatorSettings = (text: string, source: string): OperatorSettings =>
	parseConfiguration(settingsSchema, text, source);

/**
Values of the flags and environment variables; they take precedence over the settings file.
*/
export type OperatorFlags = {
	readonly platform?: string | undefined;
	readonly callers?: string | undefined;
	readonly instance?: readonly string[] | undefined;
	readonly timeout?: number | undefined;
};

/**
Merges the flags into the settings.
*/
export const applyFlags = (settings: OperatorSettings, {
	platform, callers, instance, timeout,
}: OperatorFlags): OperatorSettings => ({
	platform: {address: platform ?? settings.platform.address, timeoutMilliseconds: timeout ?? settings.platform.timeoutMilliseconds},
	instances: {timeoutMilliseconds: timeout ?? settings.instances.timeoutMilliseconds, operators: [...instance ?? settings.instances.operators]},
	callers: {address: callers ?? settings.callers.address},
});

/**
Returns the platform's address.

@throws A fault of kind `InvalidConfiguration` when none is given.
*/
export const platformAddressOf = ({platform}: OperatorSettings): string => {
	if (platform.address === undefined) {
		const ways = 'pass --platform 10.1.2.3:7000, set GALENAKEEL_PLATFORM, or write "platform": {"address": "10.1.2.3:7000"} in the settings file';
		throw createFault(FaultKind.InvalidConfiguration, `the platform's address is not given: ${ways}`);
	}

	return platform.address;
};

/**
Returns the address that accepts jobs.

@throws A fault of kind `InvalidConfiguration` when none is given.
*/
export const callersAddressOf = ({callers}: OperatorSettings): string => {
	if (callers.address === undefined) {
		const ways = 'pass --callers 10.1.2.3:8000, set GALENAKEEL_CALLERS, or write "callers": {"address": "10.1.2.3:8000"} in the settings file';
		throw createFault(FaultKind.InvalidConfiguration, `the address that accepts jobs is not given: ${ways}`);
	}

	return callers.address;
};
