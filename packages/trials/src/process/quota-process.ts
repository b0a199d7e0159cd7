/**
Holds processes to their share of a core: in each tenth of a second they run at full speed until their quota is used up, and then stand still. Time beyond the quota is taken from the next one.
*/
import {readdirSync, readFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {QuotaCommandKind, type QuotaCommand} from './quota-command.js';

type Limited = {
	readonly processIdentifier: number;
	/** Processor time in each period, in milliseconds. */
	quota: number;
	/** Processor time that is left in this period, in milliseconds. */
	left: number;
	/** Processor time since the start of the process, in milliseconds. */
	used: number;
	/** Monotonic milliseconds until when it is stalled. */
	stalledUntil: number;
	isStopped: boolean;
};

const periodMilliseconds = 100;
const checkMilliseconds = 4;
const nanosecondsOfMillisecond = 1_000_000;
const limited = new Map<number, Limited>();
let periodEndsAt = performance.now() + periodMilliseconds;

/** Processor time of all threads of a process, in milliseconds (first field of schedstat, see the kernel's sched-stats.rst). */
const readUsed = (processIdentifier: number): number => {
	const directory = `/proc/${processIdentifier}/task`;
	return readdirSync(directory)
		.map(thread => Number(readFileSync(`${directory}/${thread}/schedstat`, 'utf8').split(' ', 1)[0]) / nanosecondsOfMillisecond)
		.reduce((sum, milliseconds) => sum + milliseconds, 0);
};

const setStopped = (one: Limited, isStopped: boolean): void => {
	if (one.isStopped !== isStopped) {
		one.isStopped = isStopped;
		process.kill(one.processIdentifier, isStopped ? 'SIGSTOP' : 'SIGCONT');
	}
};

const check = (one: Limited, isNewPeriod: boolean): void => {
	if (one.quota < periodMilliseconds && !one.isStopped) {
		const used = readUsed(one.processIdentifier);
		one.left -= used - one.used;
		one.used = used;
	}

	if (isNewPeriod) {
		one.left = Math.min(one.quota, one.left + one.quota);
	}

	setStopped(one, one.left <= 0 || performance.now() < one.stalledUntil);
};

const checkAll = (): void => {
	const isNewPeriod = performance.now() >= periodEndsAt;
	if (isNewPeriod) {
		periodEndsAt = Math.max(periodEndsAt + periodMilliseconds, performance.now());
	}

	for (const one of limited.values()) {
		try {
			check(one, isNewPeriod);
		} catch {
			// The process has ended.
			limited.delete(one.processIdentifier);
		}
	}
};

const execute = (command: QuotaCommand): void => {
	if (command.kind === QuotaCommandKind.Stall) {
		const one = limited.get(command.processIdentifier);
		if (one) {
			one.stalledUntil = performance.now() + command.milliseconds;
		}
	} else {
		const quota = command.share * periodMilliseconds;
		const used = readUsed(command.processIdentifier);
		const one = limited.get(command.processIdentifier);
		if (one) {
			// The process may be stopped, and goes on only by its record.
			one.quota = quota;
			one.left = Math.min(one.left, quota);
			one.used = used;
		} else {
			limited.set(command.processIdentifier, {
				processIdentifier: command.processIdentifier, quota, left: quota, used, stalledUntil: 0, isStopped: false,
			});
		}
	}

	checkAll();
};

process.on('message', (command: QuotaCommand) => {
	try {
		execute(command);
	} catch {
		// The process has ended.
	}
});
process.once('disconnect', () => {
	process.exit();
});
setInterval(checkAll, checkMilliseconds);
