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
	/** What the machine can carry: cores, and the share of each that the daemon gets. */
	machine: z.strictObject({cores: z.number().positive().default(1), share: z.number().positive().default(1)}).prefault({}),
	/** IP addresses of daemons to begin with, beside those that the store lists. */
	seeds: z.array(z.string()).default([]),
	leases: z.strictObject({
		/** Longest lease that an endpoint grants. */
		maximumMilliseconds: milliseconds,
	}),
	/** Factor of the run time of a task away from its data. */
	remotePenalty: z.number().min(1).default(1),
	drain: z.strictObject({
		/** Time from SIGTERM until the process is killed. */
		limitMilliseconds: milliseconds,
	}),
	logs: z.strictObject({level: z.enum(LogLevel).default(LogLevel.Info)}).prefault({}),
});

/**
Settings of a daemon on the platform of jobs.
*/
export type FleetSettings = Readonly<z.output<typeof fleetSettingsSchema>>;

/**
Parses the settings of a daemon.

@throws A fault of kind `InvalidConfiguration` with one line for each faulty place.

@example
```
const settings = parseFleetSettings(text, 'fleet.jsonc');
```
*/
export const parseFleetSettings = (text: string, source: string): FleetSettings => parseConfiguration(fleetSettingsSchema, text, source);
