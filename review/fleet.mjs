/**
Starts the project's daemon with the command of the deploy file, and records what a case does and sees.
*/
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {send} from './http.mjs';
import {startRunner} from './runner.mjs';
import {startStore} from './store.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));
const readyTimeoutMilliseconds = 20_000;
const pollMilliseconds = 20;

/** Exit codes of a case. */
export const exitCodes = {held: 0, broken: 1, notRun: 2};

/** Whether the disruption of the case is to be made. */
export const hasTrouble = process.env.TROUBLE !== '0';

export const host = 'nony24.example';
export const pathPrefix = '/lohu930/';
export const service = 'huvo11a';

/** The configuration of one queue; a route's timeout is longer than any deadline that the cases use. */
export const createConfiguration = (version, route = {}) => ({
	Version: version,
	Routes: [{
		Name: 'r-wrr6x73', Host: host, PathPrefix: pathPrefix, Kind: 'unsafe', TimeoutMs: 30_000, TargetLatencyMs: 60, Priority: 1, Service: service, MaxAttempts: 3, SlackFactor: 1.6, ...route,
	}],
	Services: [{
		Name: service, HealthPath: '/healthz', MaxConns: 64, EnforcesCapacity: true,
	}],
	Limits: {
		MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
	},
});

/** A loopback address of this process alone, so that cases which are played at the same time don't take each other's ports. */
const loopbackAddress = `127.${64 + Math.floor(process.pid / 65_536)}.${Math.floor(process.pid / 256) % 256}.${(process.pid % 256) || 1}`;
/** Ports below the range from which the system takes those of outgoing connections. */
const firstPort = 12_000;
const portCount = 18_000;
const takenPorts = new Set();

const isFree = async port => {
	const server = createServer();
	server.listen(port, loopbackAddress);
	try {
		await once(server, 'listening');
	} catch {
		return false;
	}

	server.close();
	await once(server, 'close');
	return true;
};

const findFreePorts = async count => {
	const ports = [];
	while (ports.length < count) {
		const port = firstPort + Math.floor(Math.random() * portCount);
		if (!takenPorts.has(port) && await isFree(port)) {
			takenPorts.add(port);
			ports.push(port);
		}
	}

	return ports;
};

/** The command of the deploy file's role. */
const readCommand = () => {
	const [, line] = /^run = "(?<line>[^"]+)"/mv.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'));
	const [program, ...words] = line.split(' ');
	return {program, words};
};

/**
Creates the record of a case: a line for each thing that was sent, answered or run, with the milliseconds since the start.
*/
export const createRecord = directory => {
	const startedAt = performance.now();
	const file = path.join(fileURLToPath(directory), 'record.txt');
	const lines = [];
	return {
		startedAt,
		write(text, at = performance.now()) {
			lines.push({at, text});
		},
		/** Milliseconds since the start, for texts. */
		since: at => Math.round(at - startedAt),
		save() {
			const sorted = lines.toSorted((first, second) => first.at - second.at);
			const text = sorted.map(line => `${String(Math.round(line.at - startedAt)).padStart(7)} ms  ${line.text}\n`).join('');
			writeFileSync(file, text);
		},
	};
};

/**
Starts a store, runners and daemons, and waits until all daemons are ready.

@param options.zones For each zone: its name, how many daemons it has, and the processor capacity of each of its runners.
*/
export const startFleet = async ({zones, record, configuration = createConfiguration(1)}) => {
	const directory = mkdtempSync(path.join(tmpdir(), 'review-'));
	const store = await startStore();
	store.put('op', 'config', configuration);
	const history = [];
	const runners = [];
	for (const {name, runners: capacities} of zones) {
		for (const [position, processor] of capacities.entries()) {
			const runner = await startRunner({
				id: `i-${name}-${position}`, zone: name, service, processor, labels: ['a', `r-${name}-${position}`], history,
			});
			runners.push(runner);
			store.put('servers', runner.id, runner.entry());
		}
	}

	const {program, words} = readCommand();
	const children = new Set();

	const startDaemon = async (zone, position) => {
		const instance = `edge-${zone}-${position + 1}`;
		const ports = await findFreePorts(4);
		const [callers, readiness, peers, metrics] = ports.map(port => `${loopbackAddress}:${port}`);
		const settings = path.join(directory, `${instance}.jsonc`);
		writeFileSync(settings, JSON.stringify({
			instance,
			zone,
			zones: zones.map(({name}) => name),
			listen: {
				callers, readiness, peers, metrics,
			},
			platform: {address: store.address},
			machine: {cores: 1, share: 0.675},
			seeds: [],
			leases: {maximumMilliseconds: 1000},
			remotePenalty: 3,
			drain: {limitMilliseconds: 6000},
		}));
		const log = openSync(path.join(directory, `${instance}.log`), 'a');
		const child = spawn(program === 'node' ? process.execPath : program, words, {
			cwd: root, stdio: ['ignore', log, log], env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', GALENAKEEL_NODE_FILE: settings,
			},
		});
		closeSync(log);
		children.add(child);
		record.write(`${instance} starts`);
		child.on('exit', (code, signal) => {
			children.delete(child);
			record.write(`${instance} ends: ${code ?? signal}`);
		});
		return {
			instance,
			zone,
			callers,
			readiness,
			signal(name) {
				record.write(`${instance} gets ${name}`);
				child.kill(name);
			},
			hasEnded: () => !children.has(child),
			/** The lines that the daemon has logged. */
			log: () => readFileSync(path.join(directory, `${instance}.log`), 'utf8').split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line)),
		};
	};

	const daemons = [];
	const stop = async () => {
		for (const child of children) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}

		while (children.size > 0) {
			await sleep(pollMilliseconds);
		}

		for (const runner of runners) {
			runner.close();
		}

		store.close();
		if (process.env.KEEP_LOGS === undefined) {
			rmSync(directory, {recursive: true, force: true});
		} else {
			process.stderr.write(`logs: ${directory}\n`);
		}
	};

	const untilReady = async ({instance, readiness}) => {
		const until = performance.now() + readyTimeoutMilliseconds;
		while (performance.now() < until) {
			const {status} = await send(readiness, {
				method: 'GET', path: '/readyz', host: readiness, deadlineMilliseconds: 500,
			});
			if (status === 200) {
				return;
			}

			await sleep(pollMilliseconds);
		}

		throw new Error(`${instance} is not ready`);
	};

	try {
		for (const {name, daemons: count} of zones) {
			for (let position = 0; position < count; position++) {
				daemons.push(await startDaemon(name, position));
			}
		}

		await Promise.all(daemons.map(async daemon => untilReady(daemon)));
	} catch (error) {
		await stop();
		throw error;
	}

	let jobs = 0;
	return {
		store,
		runners,
		daemons,
		history,
		stop,
		/** Returns a new job identifier. */
		createIdentifier() {
			jobs++;
			return (0x5C_0E_7A_21 + jobs).toString(16).padStart(8, '0') + jobs.toString(16).padStart(8, '0');
		},
		/** The daemon that owns the cell of a zone, as its log tells. */
		ownerOf(zone) {
			const claims = daemons.flatMap(daemon => daemon.log().filter(line => line.event === 'cell-claimed' && line.cell === zone).map(line => ({daemon, token: line.token})));
			return claims.toSorted((first, second) => second.token - first.token)[0]?.daemon;
		},
		/** Submits a job whose answer is its end, and resolves with the answer. */
		async submit(daemon, identifier, steps, {milliseconds, deadlineMilliseconds}) {
			const body = {Spec: JSON.stringify({milliseconds, cpu: steps[0].Cpu}), BestEffort: true, Phases: steps};
			const text = steps.map(({Count, EstimateMs}) => `${Count} tasks of ${EstimateMs} ms by estimate`).join(', then ');
			record.write(`job ${identifier} is sent to ${daemon.instance}: ${text}; each works ${milliseconds} ms`);
			const answer = await send(daemon.callers, {
				method: 'POST', path: `${pathPrefix}${identifier}`, host, body, deadlineMilliseconds,
			});
			record.write(`job ${identifier} is answered by ${daemon.instance}: ${answer.status} ${answer.text}`);
			return {...answer, at: performance.now()};
		},
		/** Writes the runs to the record. */
		recordRuns() {
			for (const run of history) {
				record.write(`${run.runner} starts ${run.task} attempt ${run.attempt}`, run.startedAt);
				if (run.endedAt !== undefined) {
					record.write(`${run.runner} lists the end of ${run.task} attempt ${run.attempt}: ${run.how}`, run.endedAt);
				}
			}
		},
		runsOf: identifier => history.filter(({task}) => task.startsWith(`${identifier}.`)),
	};
};

/**
Runs a case, saves its record and exits. `play` returns the text of a broken rule, or undefined if the rule held.
*/
export const runCase = async (directory, play) => {
	const record = createRecord(directory);
	let exitCode;
	try {
		const broken = await play(record);
		record.write(broken === undefined ? 'the rule held' : `BROKEN: ${broken}`);
		process.stdout.write(`${broken === undefined ? 'held' : `broken: ${broken}`}\n`);
		exitCode = broken === undefined ? exitCodes.held : exitCodes.broken;
	} catch (error) {
		record.write(`the case could not run: ${error.stack}`);
		process.stdout.write(`not run: ${error.message}\n`);
		exitCode = exitCodes.notRun;
	}

	record.save();
	process.exitCode = exitCode;
};
