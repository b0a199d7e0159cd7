import {pino, type DestinationStream, type Logger} from 'pino';

/**
Logger of the process, which writes JSON lines.
*/
export type Log = Logger;

/**
Log levels, the most verbose first.
*/
export enum LogLevel {
	/** All lines. */
	Trace = 'trace',
	/** Each request without a complete answer. */
	Debug = 'debug',
	/** State changes of the daemon. */
	Info = 'info',
	/** A problem that does not stop the daemon. */
	Warn = 'warn',
	/** Data was lost or a request was aborted. */
	Error = 'error',
	/** A failure that ends the daemon. */
	Fatal = 'fatal',
	/** No lines. */
	Silent = 'silent',
}

const logLevels: ReadonlySet<string> = new Set(Object.values(LogLevel));

/**
Tells whether a value is the name of a log level.
*/
export const isLogLevel = (value: unknown): value is LogLevel => typeof value === 'string' && logLevels.has(value);

const credentialFields = ['authorization', 'proxy-authorization', 'cookie', 'set-cookie', 'x-api-key'];

/** Credentials are redacted at the top level of a line and in objects nested up to two levels deep. */
const redactedPaths = credentialFields.flatMap(field => ['', '*.', '*.*.'].map(parents => {
	const path = `${parents}["${field}"]`;
	return path.replace('.[', '[');
}));

/**
Creates the logger of the process.

@param fields Fields that each line carries.
@param destination Receives the lines; standard output when absent.

@example
```
const log = createLog(LogLevel.Info, {instance: 'entry-a1'});
log.info({event: LogEvent.Serving}, 'the daemon accepts requests');
```
*/
export const createLog = (level: string, fields: Readonly<Record<string, string>>, destination?: DestinationStream): Log =>
	pino({level, base: fields, redact: redactedPaths}, ...(destination ? [destination] : []));
