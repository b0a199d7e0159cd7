import {createFault, FaultKind} from '@galenakeel/model/request/fault.js';
import {addressSchema} from '@galenakeel/model/version/address-schema.js';
import {parseConfiguration} from '@galenakeel/model/version/configuration-text.js';
import {z} from 'zod';

const milliseconds = z.number().int().positive();
const defaultTimeoutMilliseconds = 2000;

const settingsSchema = z.strictObject({
	platform: z.strictObject({
		address: addressSchema.optional(),
		/** Time that the platform has to answer. */
		timeoutMilliseconds: milliseconds.default(defaultTimeoutMilliseconds),
	}).prefault({}),
	instances: z.strictObject({
		/** Time that each entry instance has to answer. */
		timeoutMilliseconds: milliseconds.default(defaultTimeoutMilliseconds),
		/** Operators' ports of the entry instances, to be asked when the platform does not list them. */
		operators: z.array(addressSchema).default([]),
	}).prefault({}),
	callers: z.strictObject({
		/** Address that takes jobs: the balancer, or the callers' port of one instance. */
		address: addressSchema.optional(),
	}).prefault({}),
});

/**
Settings of the command line, from a file of JSON with comments.
*/
export type OperatorSettings = z.infer<typeof settingsSchema>;

/**
Parses and validates the text of an operator's settings file.

@throws A fault of kind `InvalidConfiguration` that names every faulty place by line and column.

@example
```
const settings = parseOperatorSettings('{"platform": {"address": "10.1.2.3:7000"}}', 'galenakeel.jsonc');
```
*/
export const parseOperatorSettings = (text: string, source: string): OperatorSettings =>
	parseConfiguration(settingsSchema, text, source);

/**
What the flags and the environment say; they go before the settings file.
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
Returns the address that takes jobs.

@throws A fault of kind `InvalidConfiguration` when none is given.
*/
export const callersAddressOf = ({callers}: OperatorSettings): string => {
	if (callers.address === undefined) {
		const ways = 'pass --callers 10.1.2.3:8000, set GALENAKEEL_CALLERS, or write "callers": {"address": "10.1.2.3:8000"} in the settings file';
		throw createFault(FaultKind.InvalidConfiguration, `the address that takes jobs is not given: ${ways}`);
	}

	return callers.address;
};
