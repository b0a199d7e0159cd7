import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {QuotaCommandKind, type QuotaCommand} from './quota-command.js';

const quotaProgram = fileURLToPath(import.meta.resolve('./quota-process.js'));

/**
Holds processes to their share of a core by stopping and continuing them, since limits of the kernel need the rights of root.
*/
export type ProcessorQuotas = {
	/** Holds a process to a share of a core, until it ends or gets another one. A share of 1 or more is no limit to a process with one thread. */
	readonly limit: (processIdentifier: number, share: number) => void;
	/** Stops a limited process for some time, whatever its quota. */
	readonly stall: (processIdentifier: number, milliseconds: number) => void;
	readonly close: () => void;
};

/**
Starts the process that holds others to their shares.

@example
```
const quotas = startProcessorQuotas();
quotas.limit(child.pid!, 0.243);
```
*/
export const startProcessorQuotas = (): ProcessorQuotas => {
	const child = fork(quotaProgram);
	const send = (command: QuotaCommand): void => {
		child.send(command);
	};

	return {
		limit(processIdentifier, share) {
			send({kind: QuotaCommandKind.Limit, processIdentifier, share});
		},
		stall(processIdentifier, milliseconds) {
			send({kind: QuotaCommandKind.Stall, processIdentifier, milliseconds});
		},
		close() {
			child.disconnect();
		},
	};
};
