import {readFile} from 'node:fs/promises';

// Linux reports processor times in /proc in clock ticks of 1/100 s (proc(5), sysconf(_SC_CLK_TCK)).
const millisecondsOfTick = 10;
// Fields 14 (utime) and 15 (stime) of proc(5), as indexes after the process name, which ends at the last parenthesis.
const userField = 11;
const systemField = 12;

/**
Reads the processor time that a process has used in user and kernel mode, from /proc.

@returns Milliseconds, with a resolution of 10.
@throws A file system error when there is no such process.

@example
```
const before = await readProcessorTime(child.pid);
```
*/
export const readProcessorTime = async (processIdentifier: number): Promise<number> => {
	const text = await readFile(`/proc/${processIdentifier}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[userField]) + Number(fields[systemField])) * millisecondsOfTick;
};
