import {z} from 'zod';
import {addressSchema} from './address-schema.js';
import {parseConfiguration} from './configuration-text.js';

const name = z.string().regex(/^[\w.\-]{1,100}$/v, 'must be 1 to 100 letters, digits, dots, hyphens or underscores');
const milliseconds = z.number().int().positive();

const endpointSchema = z.strictObject({
	name,
	/** Host and port; a host is an IP number. */
	address: addressSchema,
	slots: z.number().int().min(1).max(1024).default(8),
	connections: z.number().int().min(1).max(65_536).default(64),
	/** Declared speed; 2 runs a task in half the time of 1. Measurements replace it. */
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
	/** Declared run time at speed 1. Measurements replace it. */
	runMilliseconds: milliseconds,
});

const quotaSchema = z.strictObject({
	/** Share of the service relative to other teams. */
	share: z.number().positive().default(1),
});

const guardsSchema = z.strictObject({
	/** Consecutive failures after which an endpoint gets only probes. */
	failuresBeforeOpen: z.number().int().min(1).default(3),
	/** Time until an endpoint that failed is probed again. */
	probationMilliseconds: milliseconds.default(1000),
	/** Retries of idempotent tasks as a share of first starts. */
	retryBudget: z.number().min(0).max(1).default(0.1),
});

const documentSchema = z.strictObject({
	service: name,
	/** Team that owns the service. */
	team: name,
	/** Whether a task may be sent again after it started. */
	idempotent: z.boolean().default(false),
	/** Time that an endpoint has for a whole answer. */
	timeoutMilliseconds: milliseconds.default(10_000),
	/** Deadline of a request that names none. */
	deadlineMilliseconds: milliseconds.default(30_000),
	/** Longest expected wait at which a request is still admitted. */
	maximumQueueMilliseconds: milliseconds.default(1000),
	endpoints: endpointsSchema,
	kinds: z.record(name, kindSchema).default({}),
	quotas: z.record(name, quotaSchema).default({}),
	guards: guardsSchema.prefault({}),
});

/**
What the owning team says about one service.
*/
export type ServiceDocument = z.infer<typeof documentSchema>;

/**
One endpoint of a service document.
*/
export type EndpointEntry = z.infer<typeof endpointSchema>;

/**
A document together with the version under which it was accepted.
*/
export type AcceptedDocument = {
	readonly version: number;
	/** The text as the operator wrote it, with comments. */
	readonly text: string;
	readonly document: ServiceDocument;
};

/**
Parses and validates the text of a service document.

@throws A fault of kind `InvalidConfiguration` that names every faulty place by line and column.

@example
```
const document = parseServiceDocument(await readFile('paysheet.jsonc', 'utf8'), 'paysheet.jsonc');
```
*/
export const parseServiceDocument = (text: string, source: string): ServiceDocument =>
	parseConfiguration(documentSchema, text, source);
