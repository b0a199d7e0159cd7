import {pino, type Logger} from 'pino';

/**
The log of the process: JSON lines on standard output.
*/
export type Log = Logger;

/**
Creates the log.

@example
```
const log = createLog('info', {instance: 'entry-a1'});
log.info({event: 'serving'}, 'the daemon takes requests');
```
*/
export const createLog = (level: string, fields: Readonly<Record<string, string>>): Log =>
	pino({level, base: fields, redact: ['headers.authorization', 'headers.cookie']});
