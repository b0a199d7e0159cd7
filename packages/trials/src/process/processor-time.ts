import {readFile} from 'node:fs/promises';

// Linux reports the times of /proc in ticks of 1/100 s (proc(5), sysconf(_SC_CLK_TCK)).
const millisecondsOfTick = 10;
// Fields 14 and 15 of proc(5), counted after the name, which ends with the last parenthesis.
const userField = 11;
const systemField = 12;

/**
Reads the processor time that a process has used, in user and kernel mode.

@returns Milliseconds, in steps of 10.
@throws The error of the file system when there is no such process.

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
