import {addressSchema} from '@galenakeel/model/version/address-schema.js';
import {parseConfiguration} from '@galenakeel/model/version/configuration-text.js';
import {z} from 'zod';
import {PlacementPolicy} from './placement-policy.js';
import {LogLevel} from './log.js';

const milliseconds = z.number().int().positive();
const bytes = z.number().int().positive();

const portOf = (text: string): string => text.slice(text.lastIndexOf(':') + 1);

/** Requires different ports for callers, peers and operators, so that firewall rules can tell them apart. */
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
	/** Name of the entry instance in the platform's instance list. */
	instance: z.string().regex(/^[\w.\-]{1,60}$/v, 'must be 1 to 60 letters, digits, dots, hyphens or underscores'),
	zone: z.string().regex(/^[\w.\-]{1,60}$/v, 'must be 1 to 60 letters, digits, dots, hyphens or underscores'),
	/** Capacity of the machine relative to the others. Its share of slots is proportional to it. */
	weight: z.number().positive().default(1),
	listen: z.strictObject({callers: addressSchema, peers: addressSchema, operators: addressSchema}).superRefine(checkPorts),
	platform: z.strictObject({
		address: addressSchema,
		timeoutMilliseconds: milliseconds.default(1000),
		/** Polling interval for the catalogue version and the instance list. */
		pollMilliseconds: milliseconds.default(500),
	}),
	peers: z.strictObject({
		/** Interval between heartbeats to the peer that monitors this instance. Other peers get at most one in six of them. */
		heartbeatMilliseconds: milliseconds.default(800),
		/** Upper limit of the interval between heartbeats, for any number of peers. */
		maximumHeartbeatMilliseconds: milliseconds.default(5000),
		/** How strongly the number of peers lengthens the heartbeat interval to peers that don't monitor this instance; 0 keeps it fixed. */
		heartbeatLoadFactor: z.number().min(0).max(10).default(0.25),
		/** Number of heartbeat intervals without a message after which a peer counts as unreachable, whether it was probed or not. */
		missedHeartbeats: z.number().int().min(1).default(3),
		callTimeoutMilliseconds: milliseconds.default(1000),
	}).prefault({}),
	endpoints: z.strictObject({
		connectTimeoutMilliseconds: milliseconds.default(500),
		/** Idle time after which a connection is replaced instead of being assumed to be still open. */
		maximumIdleMilliseconds: milliseconds.default(2000),
		maximumAgeMilliseconds: milliseconds.default(60_000),
		/** Number of tasks sent on one connection before it is closed. HTTP/1.1 can't distinguish a second answer to one task from the answer to the next, so use more than 1 only for a back end that never sends a second answer. */
		tasksPerConnection: z.number().int().min(1).default(1),
		/** Number of spare connections opened in advance to each endpoint in use, within this instance's share of the endpoint's connections; 0 opens none in advance. */
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
		/** Maximum body of a single request that is buffered in memory; longer bodies are streamed. */
		bufferedBodyBytes: bytes.default(1_048_576),
		/** Maximum body of a single request. */
		requestBytes: bytes.default(67_108_864),
		/** Maximum body of a job. */
		jobBytes: bytes.default(33_554_432),
		tasksInJob: z.number().int().min(1).default(2000),
		callerConnections: z.number().int().min(1).default(10_000),
		/** Idle time after which a caller's connection is closed. It is announced to callers in whole seconds, hence the minimum. */
		idleCallerMilliseconds: milliseconds.min(1000).default(5000),
		/** Timeout for a caller to send its headers, and then for its whole request. */
		slowCallerMilliseconds: milliseconds.default(30_000),
	}).superRefine(({bufferedBodyBytes, requestBytes}, context) => {
		if (bufferedBodyBytes > requestBytes) {
			context.addIssue({code: 'custom', path: ['bufferedBodyBytes'], message: `must be at most requestBytes, which is ${requestBytes}; lower it, or raise requestBytes`});
		}
	}).prefault({}),
	claims: z.strictObject({
		/** Maximum rate of claim writes, summed over all entry instances. */
		writesPerSecond: z.number().positive().default(300),
		/** Retention period of a claim. A submission may begin in the first half of it and takes at most an hour. */
		retentionMilliseconds: milliseconds.min(7_200_000, 'must be at least twice the longest deadline, 7200000').default(86_400_000),
		/** Pause between two pages of the sweep that deletes expired claims. */
		sweepMilliseconds: milliseconds.default(500),
	}).prefault({}),
	answers: z.strictObject({
		/** Retention period of an answer, during which a repeated submission gets the same answer. */
		retentionMilliseconds: milliseconds.default(600_000),
		maximumBytes: bytes.default(67_108_864),
	}).prefault({}),
	drain: z.strictObject({
		/** Time during which the instance announces that it is leaving, so that the load balancer and the peers stop using it. */
		announceMilliseconds: milliseconds.default(3000),
		/** Time limit of the whole drain. Requests that still run after it are aborted and logged. */
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
		/** Maximum number of recent requests and jobs kept for `galenakeel explain`. */
		entries: z.number().int().min(1).default(2000),
		maximumBytes: bytes.default(2_097_152),
	}).prefault({}),
	traces: z.strictObject({
		/** Fraction of the requests without a trace context from the caller that are traced; 0 turns tracing off for all requests. */
		samplingRatio: z.number().min(0).max(1).default(0),
		/** URL to which spans are exported by OTLP over HTTP, as in "http://10.1.2.3:4318/v1/traces". */
		otlpUrl: z.url({protocol: /^https?$/v, error: 'must be a URL, as in "http://10.1.2.3:4318/v1/traces"'}).optional(),
		/** File to which spans are appended as JSON lines. */
		file: z.string().min(1).optional(),
	}).prefault({}),
});

/**
Settings of one daemon, read from a JSON file with comments.
*/
export type DaemonSettings = z.infer<typeof settingsSchema>;

/**
Parses and validates the text of a settings file.

@param source Name of the file in error messages.

@throws A fault of kind `InvalidConfiguration` that lists every error with its line and column.

@example
```
const settings = parseDaemonSettings(readFileSync(path, 'utf8'), path);
```
*/
export const parseDaemonSettings = (text: string, source: string): DaemonSettings =>
	parseConfiguration(settingsSchema, text, source);
