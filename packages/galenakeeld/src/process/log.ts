import {pino, type DestinationStream, type Logger} from 'pino';

/**
The log of the process: JSON lines on standard output.
*/
export type Log = Logger;

/**
The levels of the log, the most verbose first.
*/
export enum LogLevel {
	/** Everything. */
	Trace = 'trace',
	/** Each request that has no whole answer. */
	Debug = 'debug',
	/** Changes of the daemon's state. */
	Info = 'info',
	/** Something is out of order and the daemon goes on. */
	Warn = 'warn',
	/** Something was lost or cut. */
	Error = 'error',
	/** The daemon ends. */
	Fatal = 'fatal',
	/** Nothing. */
	Silent = 'silent',
}

const logLevels: ReadonlySet<string> = new Set(Object.values(LogLevel));

/**
Tells whether a value is the name of a level.
*/
export const isLogLevel = (value: unknown): value is LogLevel => typeof value === 'string' && logLevels.has(value);

const credentialFields = ['authorization', 'proxy-authorization', 'cookie', 'set-cookie', 'x-api-key'];

/** Credentials are replaced wherever a line holds them, at the top or up to two objects down. */
const redactedPaths = credentialFields.flatMap(field => ['', '*.', '*.*.'].map(parents => {
	const path = `${parents}["${field}"]`;
	return path.replace('.[', '[');
}));

/**
Creates the log.

@param destination Takes the lines; standard output when absent.

@example
```
const log = createLog(LogLevel.Info, {instance: 'entry-a1'});
log.info({event: LogEvent.Serving}, 'the daemon takes requests');
```
*/
export const createLog = (level: string, fields: Readonly<Record<string, string>>, destination?: DestinationStream): Log =>
	pino({level, base: fields, redact: redactedPaths}, ...(destination ? [destination] : []));
