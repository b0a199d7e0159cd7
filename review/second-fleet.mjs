import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {send} from './second-http.mjs';
import {findPorts} from './second-ports.mjs';

const root = fileURLToPath(new URL('../', import.meta.url));

/** The program and its arguments in the deploy file. */
const readCommand = () => {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const {command} = /^run = "(?<command>[^"]+)"/mv.exec(text).groups;
	const [, ...words] = command.split(' ');
	return words;
};

/**
Starts daemons with the command of the deploy file, each on a loopback address of its own, with the settings of a small deployment.

@param zones Number of daemons of each zone, by its name.
*/
export const startFleet = async ({zones, store, log, hostPrefix = '127.0.31'}) => {
	const directory = mkdtempSync(path.join(tmpdir(), 'galenakeel-review-'));
	const command = readCommand();
	const names = Object.entries(zones).flatMap(([zone, count]) => Array.from({length: count}, (_, index) => ({zone, name: `edge-${zone}-${index + 1}`})));
	const hosts = names.map((_, index) => `${hostPrefix}.${index + 1}`);
	const [callers, readiness, peers, metrics, storePort] = await findPorts(hosts, 5);
	const daemons = [];
	for (const [index, {zone, name}] of names.entries()) {
		const host = hosts[index];
		await store.listen(host, storePort, name);
		const settings = path.join(directory, `${name}.jsonc`);
		writeFileSync(settings, JSON.stringify({
			instance: name,
			zone,
			zones: Object.keys(zones),
			listen: {
				callers: `${host}:${callers}`, readiness: `${host}:${readiness}`, peers: `${host}:${peers}`, metrics: `${host}:${metrics}`,
			},
			platform: {address: `${host}:${storePort}`},
			machine: {cores: 1, share: 0.675},
			seeds: [],
			callers: {returnMilliseconds: 1300},
			leases: {maximumMilliseconds: 1000},
			remotePenalty: 3,
			configuration: {applyMilliseconds: 2000},
			drain: {limitMilliseconds: 6000},
		}));
		const output = openSync(path.join(process.env.DAEMON_LOGS ?? directory, `${name}.log`), 'a');
		const daemon = {
			name, zone, callers: `${host}:${callers}`, readiness: `${host}:${readiness}`, child: undefined,
			start() {
				daemon.child = spawn(process.execPath, command, {
					cwd: root, stdio: ['ignore', output, output], env: {PATH: process.env.PATH, HOME: process.env.HOME, GALENAKEEL_NODE_FILE: settings},
				});
				daemon.child.on('exit', (code, signal) => {
					log('daemon-ended', {daemon: name, code, signal});
				});
				log('daemon-started', {daemon: name});
			},
			async isReady() {
				const {status} = await send(daemon.readiness, {path: '/readyz', timeoutMilliseconds: 500});
				return status === 200;
			},
			async untilReady() {
				const until = performance.now() + 15_000;
				while (!await daemon.isReady()) {
					if (performance.now() > until) {
						throw new Error(`${name} was not ready within 15 s`);
					}

					await sleep(50);
				}
			},
			async stop() {
				if (daemon.child && daemon.child.exitCode === null && daemon.child.signalCode === null) {
					const ended = once(daemon.child, 'exit');
					daemon.child.kill('SIGCONT');
					daemon.child.kill('SIGKILL');
					await ended;
				}

				closeSync(output);
			},
		};
		daemons.push(daemon);
		daemon.start();
	}

	return {
		daemons,
		async stop() {
			await Promise.all(daemons.map(async daemon => daemon.stop()));
			rmSync(directory, {recursive: true, force: true});
		},
	};
};
