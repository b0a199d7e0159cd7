import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** Exit codes of a case. */
export const ruleHeld = 0;
export const ruleBroken = 1;
export const couldNotRun = 2;

const longestRunMilliseconds = 112_000;

/**
Runs a case: records what happens, and ends the process with the exit code of the case.

@param folder Folder of the case, in which `record.txt` is written.
@param play Plays the case. Returns whether the rule held, and a line that says why.
*/
export const runCase = async (folder, play) => {
	const beganAt = performance.now();
	const lines = [];
	const cleanups = [];
	const log = (event, fields = {}) => {
		lines.push(`${((performance.now() - beganAt) / 1000).toFixed(3).padStart(8)} s  ${event}  ${JSON.stringify(fields)}`);
	};

	const write = () => {
		writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
	};

	const hasTrouble = process.env.TROUBLE !== '0';
	let code = couldNotRun;
	const timer = setTimeout(() => {
		log('verdict', {code: couldNotRun, reason: 'the time of the script is over'});
		write();
		process.exitCode = couldNotRun;
		void Promise.all(cleanups.map(async cleanup => cleanup())).finally(() => {
			// A case may leave timers and connections behind.
			// eslint-disable-next-line unicorn/no-process-exit
			process.exit(couldNotRun);
		});
	}, longestRunMilliseconds);
	try {
		const {isHeld, reason} = await play({log, hasTrouble, atEnd: cleanup => cleanups.push(cleanup)});
		code = isHeld ? ruleHeld : ruleBroken;
		log('verdict', {code, hasTrouble, reason});
		process.stdout.write(`${isHeld ? 'held' : 'BROKEN'}: ${reason}\n`);
	} catch (error) {
		log('verdict', {code, reason: error.stack});
		process.stdout.write(`could not run: ${error.message}\n`);
	}

	clearTimeout(timer);
	for (const cleanup of cleanups.toReversed()) {
		await cleanup();
	}

	write();
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(code);
};
