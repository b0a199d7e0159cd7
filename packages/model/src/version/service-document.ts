import {z} from 'zod';
import {addressSchema} from './address-schema.js';
import {parseConfiguration} from './configuration-text.js';

const name = z.string().regex(/^[\w.\-]{1,100}$/v, 'must be 1 to 100 letters, digits, dots, hyphens or underscores');
const milliseconds = z.number().int().positive();

const endpointSchema = z.strictObject({
	name,
	/** IP address and port. */
	address: addressSchema,
	slots: z.number().int().min(1).max(1024).default(8),
	connections: z.number().int().min(1).max(65_536).default(64),
	/** Relative speed, used until run times are measured; an endpoint of speed 2 runs a task in half the time of speed 1. */
	speed: z.number().positive().default(1),
});

const endpointsSchema = z.record(name, z.array(endpointSchema)).superRefine((endpoints, context) => {
	const seen = new Map<string, string>();
	for (const [zone, entries] of Object.entries(endpoints)) {
		for (const [position, entry] of entries.entries()) {
			const other = seen.get(entry.address);
			if (other !== undefined) {
				context.addIssue({code: 'custom', path: [zone, position, 'address'], message: `is also the address of endpoint "${other}"; give each endpoint its own`});
			}

			seen.set(entry.address, entry.name);
		}
	}
});

const kindSchema = z.strictObject({
	/** Run time at speed 1, used until run times are measured. */
	runMilliseconds: milliseconds,
});

const quotaSchema = z.strictObject({
	/** Team's share of the service, relative to other teams. */
	share: z.number().positive().default(1),
});

const guardsSchema = z.strictObject({
	/** Consecutive failures after which an endpoint is sent only probes. */
	failuresBeforeOpen: z.number().int().min(1).default(3),
	/** Time until an endpoint that failed is probed again. */
	probationMilliseconds: milliseconds.default(1000),
	/** Maximum retries of idempotent tasks, as a fraction of first starts. */
	retryBudget: z.number().min(0).max(1).default(0.1),
});

const documentSchema = z.strictObject({
	service: name,
	/** Team that owns the service. */
	team: name,
	/** Whether a task may be sent again after it started. */
	idempotent: z.boolean().default(false),
	/** Time within which an endpoint must answer completely. */
	timeoutMilliseconds: milliseconds.default(10_000),
	/** Deadline of a request that gives none. */
	deadlineMilliseconds: milliseconds.default(30_000),
	/** Maximum expected wait at which a request is admitted. */
	maximumQueueMilliseconds: milliseconds.default(1000),
	endpoints: endpointsSchema,
	kinds: z.record(name, kindSchema).default({}),
	quotas: z.record(name, quotaSchema).default({}),
	guards: guardsSchema.prefault({}),
});

/**
Configuration of one service, written by the team that owns it.
*/
export type ServiceDocument = z.infer<typeof documentSchema>;

/**
An endpoint in a service document.
*/
export type EndpointEntry = z.infer<typeof endpointSchema>;

/**
A document with the version under which it was accepted.
*/
export type AcceptedDocument = {
	readonly version: number;
	/** The text as the operator wrote it, with comments. */
	readonly text: string;
	readonly document: ServiceDocument;
};

/**
Parses and validates the text of a service document.

@throws A fault of kind `InvalidConfiguration` that gives the line and column of every invalid entry.

@example
```
const document = parseServiceDocument(await readFile('paysheet.jsonc', 'utf8'), 'paysheet.jsonc');
```
*/
export const parseServiceDocument = (text: string, source: string): ServiceDocument =>
	parseConfiguration(documentSchema, text, source);
