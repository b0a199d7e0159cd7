import {addressSchema} from '@galenakeel/model/version/address-schema.js';
import {parseConfiguration} from '@galenakeel/model/version/configuration-text.js';
import {z} from 'zod';
import {PlacementPolicy} from './placement-policy.js';
import {LogLevel} from './log.js';

const milliseconds = z.number().int().positive();
const bytes = z.number().int().positive();

const portOf = (text: string): string => text.slice(text.lastIndexOf(':') + 1);

/** Callers, peers and operators have a port each, so that the firewall can tell them apart. */
const checkPorts = (listen: Readonly<Record<string, string>>, context: z.RefinementCtx): void => {
	const listenersByPort = new Map<string, string>();
	for (const [listener, address] of Object.entries(listen)) {
		const port = portOf(address);
		const other = listenersByPort.get(port);
		if (other !== undefined) {
			context.addIssue({code: 'custom', path: [listener], message: `has port ${port}, which "${other}" has too; give each its own port`});
		}

		listenersByPort.set(port, listener);
	}
};

const settingsSchema = z.strictObject({
	/** Name of the entry instance, as the platform lists it. */
	instance: z.string().regex(/^[\w.\-]{1,60}$/v, 'must be 1 to 60 letters, digits, dots, hyphens or underscores'),
	zone: z.string().regex(/^[\w.\-]{1,60}$/v, 'must be 1 to 60 letters, digits, dots, hyphens or underscores'),
	/** Capacity of the machine relative to the others; its share of slots follows it. */
	weight: z.number().positive().default(1),
	listen: z.strictObject({callers: addressSchema, peers: addressSchema, operators: addressSchema}).superRefine(checkPorts),
	platform: z.strictObject({
		address: addressSchema,
		timeoutMilliseconds: milliseconds.default(1000),
		/** Interval at which the catalogue version and the instance list are read. */
		pollMilliseconds: milliseconds.default(500),
	}),
	peers: z.strictObject({
		/** Time between heartbeats to the peer that watches this instance. Others get one for each six, or fewer. */
		heartbeatMilliseconds: milliseconds.default(800),
		/** Longest time between heartbeats, however many peers there are. */
		maximumHeartbeatMilliseconds: milliseconds.default(5000),
		/** Weight of the number of peers in the time between heartbeats to those that don't watch this instance; 0 keeps it fixed. */
		heartbeatLoadFactor: z.number().min(0).max(10).default(0.25),
		/** Silent heartbeat intervals after which a peer is unreachable, whether it was probed or not. */
		missedHeartbeats: z.number().int().min(1).default(3),
		callTimeoutMilliseconds: milliseconds.default(1000),
	}).prefault({}),
	endpoints: z.strictObject({
		connectTimeoutMilliseconds: milliseconds.default(500),
		/** Idle time after which a connection is replaced rather than trusted. */
		maximumIdleMilliseconds: milliseconds.default(2000),
		maximumAgeMilliseconds: milliseconds.default(60_000),
		/** Tasks that one connection carries. HTTP/1.1 can't tell a second answer to one task from the answer to the next, so only a back end that never sends one may have more than 1. */
		tasksPerConnection: z.number().int().min(1).default(1),
		/** Connections to each endpoint in use that are opened before a task needs them, within this instance's part of the endpoint's connections; 0 opens none ahead. */
		connectionsAhead: z.number().int().min(0).max(16).default(2),
	}).superRefine(({maximumIdleMilliseconds, maximumAgeMilliseconds}, context) => {
		if (maximumIdleMilliseconds > maximumAgeMilliseconds) {
			context.addIssue({
				code: 'custom', path: ['maximumIdleMilliseconds'], message: `must be at most maximumAgeMilliseconds, which is ${maximumAgeMilliseconds}; lower it, or raise maximumAgeMilliseconds`,
			});
		}
	}).prefault({}),
	limits: z.strictObject({
		headerBytes: bytes.default(16_384),
		/** Largest body of a single request that is held in memory; longer ones are streamed. */
		bufferedBodyBytes: bytes.default(1_048_576),
		/** Largest body of a single request. */
		requestBytes: bytes.default(67_108_864),
		/** Largest body of a job. */
		jobBytes: bytes.default(33_554_432),
		tasksInJob: z.number().int().min(1).default(2000),
		callerConnections: z.number().int().min(1).default(10_000),
		/** Idle time, told to callers in whole seconds, after which a caller's connection is closed. */
		idleCallerMilliseconds: milliseconds.min(1000).default(5000),
		/** Time that a caller has to send its headers, and then its whole request. */
		slowCallerMilliseconds: milliseconds.default(30_000),
	}).superRefine(({bufferedBodyBytes, requestBytes}, context) => {
		if (bufferedBodyBytes > requestBytes) {
			context.addIssue({code: 'custom', path: ['bufferedBodyBytes'], message: `must be at most requestBytes, which is ${requestBytes}; lower it, or raise requestBytes`});
		}
	}).prefault({}),
	claims: z.strictObject({
		/** Writes of claims a second over all entry instances. */
		writesPerSecond: z.number().positive().default(300),
		/** Time for which a claim is kept. A submission may begin in its first half and takes at most an hour. */
		retentionMilliseconds: milliseconds.min(7_200_000, 'must be at least twice the longest deadline, 7200000').default(86_400_000),
		/** Pause between two pages of the sweep of claims that are past their retention. */
		sweepMilliseconds: milliseconds.default(500),
	}).prefault({}),
	answers: z.strictObject({
		/** Time for which an answer is repeated to a caller that submits again. */
		retentionMilliseconds: milliseconds.default(600_000),
		maximumBytes: bytes.default(67_108_864),
	}).prefault({}),
	drain: z.strictObject({
		/** Time for the balancer and the peers to notice that the instance is leaving. */
		announceMilliseconds: milliseconds.default(3000),
		/** Longest time to finish what runs; afterwards it is cut, and logged. */
		limitMilliseconds: milliseconds.default(120_000),
	}).superRefine(({announceMilliseconds, limitMilliseconds}, context) => {
		if (limitMilliseconds <= announceMilliseconds) {
			context.addIssue({
				code: 'custom',
				path: ['limitMilliseconds'],
				message: `must be above announceMilliseconds, which is ${announceMilliseconds}; otherwise requests would be cut before the balancer has noticed`,
			});
		}
	}).prefault({}),
	placement: z.strictObject({
		policy: z.enum(PlacementPolicy).default(PlacementPolicy.SharesWithBorrowing),
	}).prefault({}),
	logs: z.strictObject({
		level: z.enum(LogLevel).default(LogLevel.Info),
	}).prefault({}),
	records: z.strictObject({
		/** Recent requests and jobs that `galenakeel explain` can show. */
		entries: z.number().int().min(1).default(2000),
		maximumBytes: bytes.default(2_097_152),
	}).prefault({}),
	traces: z.strictObject({
		/** Share of the requests without a trace of their own that are traced; 0 turns tracing off. */
		samplingRatio: z.number().min(0).max(1).default(0),
		/** Where spans are sent by OTLP over HTTP, as in "http://10.1.2.3:4318/v1/traces". */
		otlpUrl: z.url({protocol: /^https?$/v, error: 'must be a URL, as in "http://10.1.2.3:4318/v1/traces"'}).optional(),
		/** File to which spans are added as JSON lines. */
		file: z.string().min(1).optional(),
	}).prefault({}),
});

/**
Settings of one daemon, from a file of JSON with comments.
*/
export type DaemonSettings = z.infer<typeof settingsSchema>;

/**
Parses and validates the text of a settings file.

@throws A fault of kind `InvalidConfiguration` that names every faulty place by line and column.

@example
```
const settings = parseDaemonSettings(readFileSync(path, 'utf8'), path);
```
*/
export const parseDaemonSettings = (text: string, source: string): DaemonSettings =>
	parseConfiguration(settingsSchema, text, source);
