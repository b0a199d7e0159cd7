#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createFault, detailOf, FaultKind} from '@galenakeel/model/request/fault.js';
import {startDaemon} from './daemon.js';
import {parseDaemonSettings, type DaemonSettings} from './daemon-settings.js';
import {LogEvent} from './log-event.js';
import {createLog} from './log.js';

const usage = 'usage: galenakeeld --settings FILE [--check-settings]\n';

/**
Exit codes of the daemon.
*/
enum ExitCode {
	/** The daemon stopped after answering every request, or the settings are valid. */
	Done = 0,
	/** The daemon could not start, or requests were interrupted at the drain limit. */
	Failed = 1,
	/** The command line or the settings are invalid. */
	Usage = 2,
}

const exitWith = (code: ExitCode, message = ''): never => {
	process.stderr.write(message);
	process.exit(code);
};

const readText = (path: string): string => {
	try {
		return readFileSync(path, 'utf8');
	} catch (error) {
		throw createFault(FaultKind.InvalidConfiguration, `${path} can't be read: ${detailOf(error)}`);
	}
};

const readSettings = (path: string): DaemonSettings => {
	try {
		return parseDaemonSettings(readText(path), path);
	} catch (error) {
		return exitWith(ExitCode.Usage, `galenakeeld: ${error instanceof Error ? error.message : String(error)}\n`);
	}
};

const {values} = parseArgs({options: {settings: {type: 'string'}, 'check-settings': {type: 'boolean'}}});
if (values.settings === undefined) {
	exitWith(ExitCode.Usage, usage);
}

const settings = readSettings(values.settings!);
if (values['check-settings']) {
	process.stdout.write(`${values.settings} is valid\n`);
	process.exit(ExitCode.Done);
}

const log = createLog(settings.logs.level, {instance: settings.instance, zone: settings.zone});
try {
	const daemon = await startDaemon(settings, log);
	let isLeaving = false;
	const leave = async (): Promise<void> => {
		if (isLeaving) {
			return;
		}

		isLeaving = true;
		const interrupted = await daemon.leave();
		process.exit(interrupted === 0 ? ExitCode.Done : ExitCode.Failed);
	};

	process.on('SIGTERM', () => void leave());
	process.on('SIGINT', () => void leave());
} catch (error) {
	log.fatal({event: LogEvent.StartFailed, detail: detailOf(error)}, 'the daemon could not start; check the addresses under "listen" in its settings');
	exitWith(ExitCode.Failed);
}
