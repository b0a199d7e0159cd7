import {addressSchema} from '@galenakeel/model/version/address-schema.js';
import {parseConfiguration} from '@galenakeel/model/version/configuration-text.js';
import {z} from 'zod';
import {LogLevel} from '../log.js';

const milliseconds = z.number().int().positive();
const name = z.string().min(1).max(200);

const fleetSettingsSchema = z.strictObject({
	instance: name,
	zone: name,
	/** All availability zones of the deployment. */
	zones: z.array(name).min(1),
	listen: z.strictObject({
		callers: addressSchema, readiness: addressSchema, peers: addressSchema, metrics: addressSchema,
	}),
	platform: z.strictObject({address: addressSchema}),
	/** Capacity of the machine: cores, and the share of each that the daemon gets. */
	machine: z.strictObject({cores: z.number().positive().default(1), share: z.number().positive().default(1)}).prefault({}),
	/** IP addresses of peers to connect to at the start, in addition to those listed in the store. */
	seeds: z.array(z.string()).default([]),
	callers: z.strictObject({
		/** Time from the end of a caller's connection until the caller may submit its job again. */
		returnMilliseconds: milliseconds.default(1300),
	}).prefault({}),
	leases: z.strictObject({
		/** Maximum lease that an endpoint grants. */
		maximumMilliseconds: milliseconds,
	}),
	/** Factor by which the run time of a task grows away from its data. */
	remotePenalty: z.number().min(1).default(1),
	configuration: z.strictObject({
		/** Time within which a version that operators have stored is in force at each daemon. */
		applyMilliseconds: milliseconds.default(2000),
	}).prefault({}),
	drain: z.strictObject({
		/** Time from SIGTERM until the process is killed. */
		limitMilliseconds: milliseconds,
	}),
	logs: z.strictObject({level: z.enum(LogLevel).default(LogLevel.Info)}).prefault({}),
});

/**
Settings of a daemon on the job platform.
*/
export type FleetSettings = Readonly<z.output<typeof fleetSettingsSchema>>;

/**
Parses the settings of a daemon.

@throws A fault of kind `InvalidConfiguration` with one line for each invalid setting.

@example
```
const settings = parseFleetSettings(text, 'fleet.jsonc');
```
*/
export const parseFleetSettings = (text: string, source: string): FleetSettings => parseConfiguration(fleetSettingsSchema, text, source);
