import {readFileSync} from 'node:fs';
import process from 'node:process';
import {detailOf} from '@galenakeel/model/request/fault.js';
import {createLog, type Log} from '../log.js';
import {startFleetDaemon} from './fleet-daemon.js';
import {FleetEvent} from './fleet-event.js';
import {createRateLimitedLog} from './rate-limited-log.js';
import {handleUnexpectedErrors} from './unexpected-errors.js';
import {parseFleetSettings, type FleetSettings} from './fleet-settings.js';

/**
Exit codes of the daemon.
*/
export enum ExitCode {
	/** Every caller received its answer. */
	Done = 0,
	/** The daemon could not start, or callers were left without an answer at shutdown. */
	Failed = 1,
	/** The settings are missing or invalid. */
	Usage = 2,
}

/** Lines a second about unexpected errors. */
const maximumErrorLines = 10;

const readSettings = (path: string): FleetSettings => parseFleetSettings(readFileSync(path, 'utf8'), path);

/** Settings do not change while the process runs; a reload only validates the file. */
const checkReload = (path: string, log: Log): void => {
	try {
		readSettings(path);
		log.info({event: FleetEvent.Reloaded, path});
	} catch (error) {
		log.warn({event: FleetEvent.ReloadFailed, path, detail: detailOf(error)});
	}
};

/** Resolves at the first SIGTERM or SIGINT. */
const awaitTermination = async (): Promise<void> => new Promise(resolve => {
	process.once('SIGTERM', resolve);
	process.once('SIGINT', resolve);
});

/**
Runs a daemon on the job platform until SIGTERM or SIGINT.

@param path Path of the settings file, JSON with comments.
@returns The exit code of the process.
*/
export const runFleetDaemon = async (path: string): Promise<ExitCode> => {
	let settings: FleetSettings;
	try {
		settings = readSettings(path);
	} catch (error) {
		process.stderr.write(`galenakeeld: ${detailOf(error)}\n`);
		return ExitCode.Usage;
	}

	const log = createLog(settings.logs.level, {instance: settings.instance, zone: settings.zone});
	log.info({event: FleetEvent.Started, settings: path});
	process.on('SIGHUP', () => {
		checkReload(path, log);
	});
	const logLimited = createRateLimitedLog(log, maximumErrorLines);
	handleUnexpectedErrors(process, error => {
		logLimited(FleetEvent.UnexpectedError, error);
	});
	const terminationRequested = awaitTermination();
	try {
		const daemon = await startFleetDaemon(settings, log);
		await terminationRequested;
		const cut = await daemon.leave();
		return cut === 0 ? ExitCode.Done : ExitCode.Failed;
	} catch (error) {
		log.fatal({event: FleetEvent.StartFailed, detail: detailOf(error)}, 'the daemon could not start; check the addresses under "listen" in its settings');
		return ExitCode.Failed;
	}
};
