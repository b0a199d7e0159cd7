import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {call} from '@galenakeel/stand-ins/connection/http-json.js';

const daemonProgram = fileURLToPath(import.meta.resolve('galenakeeld/process/main.js'));
const readyPollMilliseconds = 50;

/**
The addresses and the zone of a daemon under trial.
*/
export type DaemonPlace = {
	readonly instance: string;
	readonly zone: string;
	readonly callers: string;
	readonly peers: string;
	readonly operators: string;
	/** Address under which this daemon reaches the platform. */
	readonly platform: string;
};

/**
A daemon that runs as a process of its own.
*/
export type DaemonProcess = DaemonPlace & {
	readonly child: ChildProcess;
	/** Settles with the exit code, or the signal's name. */
	readonly exited: Promise<number | string>;
	readonly signal: (name: NodeJS.Signals) => void;
	readonly untilReady: (timeoutMilliseconds: number) => Promise<void>;
	readonly status: () => Promise<Record<string, unknown>>;
};

/**
Starts a daemon with its settings and log in a directory.

@param overrides Settings beyond the addresses.
*/
export const startDaemonProcess = async (directory: string, place: DaemonPlace, overrides: Readonly<Record<string, unknown>> = {}): Promise<DaemonProcess> => {
	const settingsPath = join(directory, `${place.instance}.jsonc`);
	const {platform, ...otherOverrides} = overrides as {platform?: Record<string, unknown>};
	await writeFile(settingsPath, JSON.stringify({
		instance: place.instance,
		zone: place.zone,
		listen: {callers: place.callers, peers: place.peers, operators: place.operators},
		platform: {address: place.platform, ...platform},
		...otherOverrides,
	}, undefined, '\t'));
	const log = openSync(join(directory, `${place.instance}.log`), 'a');
	const child = spawn(process.execPath, [daemonProgram, '--settings', settingsPath], {stdio: ['ignore', log, log]});
	closeSync(log);
	const endWithThisProcess = (): void => {
		child.kill('SIGKILL');
	};

	process.once('exit', endWithThisProcess);
	child.once('exit', () => {
		process.off('exit', endWithThisProcess);
	});
	const exited = (async () => {
		const [code, signal] = await once(child, 'exit') as [number | undefined, string | undefined];
		return code ?? signal ?? 'unknown';
	})();
	return {
		...place,
		child,
		exited,
		signal(name) {
			child.kill(name);
		},
		async untilReady(timeoutMilliseconds) {
			const until = Date.now() + timeoutMilliseconds;
			while (Date.now() < until) {
				if (await isReady(place.operators)) {
					return;
				}

				await sleep(readyPollMilliseconds);
			}

			throw new Error(`daemon ${place.instance} was not ready within ${timeoutMilliseconds} ms; see its log in ${directory}`);
		},
		async status() {
			const reply = await call(place.operators, 'GET', '/v1/status');
			return JSON.parse(reply.text) as Record<string, unknown>;
		},
	};
};

const isReady = async (operators: string): Promise<boolean> => {
	try {
		const reply = await call(operators, 'GET', '/ready', {timeoutMilliseconds: 1000});
		return reply.status === 200;
	} catch {
		return false;
	}
};
