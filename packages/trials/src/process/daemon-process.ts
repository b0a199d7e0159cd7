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
Identity, availability zone and listen addresses of a daemon under test.
*/
export type DaemonPlace = {
	readonly instance: string;
	readonly zone: string;
	readonly callers: string;
	readonly peers: string;
	readonly operators: string;
	/** Address at which this daemon calls the platform; that of a proxy in a proxied fleet. */
	readonly platform: string;
};

/**
A daemon that runs as a child process.
*/
export type DaemonProcess = DaemonPlace & {
	readonly child: ChildProcess;
	/** Resolves with the exit code, or with the name of the signal that ended the process. */
	readonly exited: Promise<number | string>;
	readonly signal: (name: NodeJS.Signals) => void;
	readonly untilReady: (timeoutMilliseconds: number) => Promise<void>;
	readonly status: () => Promise<Record<string, unknown>>;
};

/**
Starts a daemon as a child process, and writes its settings file and log to a directory. The daemon is killed when this process exits.

@param overrides Settings added to the generated ones; `platform` is merged, other keys replace.
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
