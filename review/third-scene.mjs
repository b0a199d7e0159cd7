import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {startDaemon} from './third-daemon.mjs';
import {startStore} from './third-store.mjs';
import {startWorker} from './third-worker.mjs';

/**
Exit codes of a case.
*/
export const ExitCode = {Held: 0, Broken: 1, NotRun: 2};

export const hostName = 'sheets.example';
export const service = 'sheets';
/** The queue of the jobs, and one that is there beside it. */
export const mainPrefix = '/sheets/';
export const otherPrefix = '/loads/';
export const firstVersion = 7;
const beatMilliseconds = 1500;

/** Creates a configuration with one queue for each path prefix. */
const createConfiguration = (version, pathPrefixes, queue) => ({
	Version: version,
	Routes: pathPrefixes.map(pathPrefix => ({
		Name: `r${pathPrefix.replaceAll('/', '-')}`,
		Host: hostName,
		PathPrefix: pathPrefix,
		Kind: 'unsafe',
		TimeoutMs: 30_000,
		TargetLatencyMs: 60,
		Priority: 1,
		Service: service,
		MaxAttempts: 3,
		SlackFactor: 1.6,
		...queue,
	})),
	Services: [{
		Name: service, HealthPath: '/healthz', MaxConns: 64, Protocol: 'h1', Tls: false, EnforcesCapacity: true, Headroom: false,
	}],
	Limits: {
		MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
	},
});

/** Creates the record of a case, whose lines begin with milliseconds since its start. */
const createRecord = file => {
	const startedAt = performance.now();
	const lines = [];
	return {
		write(line) {
			lines.push(`${Math.round(performance.now() - startedAt)} ms  ${line}`);
		},
		save() {
			writeFileSync(file, `${lines.join('\n')}\n`);
		},
	};
};

/** Starts the parts of a deployment one after the other. Those that were started are added to `parts`, also if a later one fails. */
const startDeployment = async ({zones, daemonsInZone, workersInZone, processor, queue, isOwnerFirst}, folder, record, parts) => {
	const store = await startStore('127.0.0.1');
	parts.push(store);

	/** Stores a configuration, as an operator does. */
	const configure = (version, pathPrefixes) => {
		store.put('op', 'config', createConfiguration(version, pathPrefixes, queue));
		record(`the store has accepted configuration ${version} with ${pathPrefixes.join(' and ')}`);
	};

	configure(firstVersion, [mainPrefix, otherPrefix]);
	const workers = [];
	for (const [index, zone] of zones.entries()) {
		for (let number = 0; number < workersInZone; number++) {
			const worker = await startWorker({
				host: `127.0.${index + 1}.${number + 101}`, identifier: `i-${zone}-${number}`, zone, service, processor, rack: `r${index}-0`, record,
			});
			parts.push(worker);
			workers.push(worker);
		}
	}

	const beat = () => {
		for (const worker of workers) {
			store.put('servers', worker.identifier, worker.entry());
		}
	};

	beat();
	const timer = setInterval(beat, beatMilliseconds);
	parts.push({
		close() {
			clearInterval(timer);
		},
	});
	const places = zones.flatMap((zone, index) => Array.from({length: daemonsInZone}, (_, number) => ({name: `edge-${zone}-${number}`, zone, host: `127.0.${index + 1}.${number + 1}`})));
	const start = async place => {
		// Each daemon calls the store at an address of its own.
		const storeServer = await store.open();
		const daemon = await startDaemon({
			...place, folder, zones, storeServer, record,
		});
		parts.push(daemon);
		return daemon;
	};

	// Its zone has no other daemon yet, so this one owns the endpoints there.
	const owners = isOwnerFirst ? [await start(places.shift())] : [];
	const daemons = await Promise.allSettled(places.map(async place => start(place)));
	const failed = daemons.find(({status}) => status === 'rejected');
	if (failed) {
		throw failed.reason;
	}

	return {
		configure, store, workers, daemons: [...owners, ...daemons.map(({value}) => value)],
	};
};

/**
Runs a case: starts a deployment, plays the case on it, ends all processes, and writes the record beside the case. Returns the exit code.

@param options.play Plays the case; returns whether the rule held, or undefined if the case couldn't run.
*/
export const runCase = async ({recordPath, play, ...deployment}) => {
	const folder = mkdtempSync(path.join(tmpdir(), 'galenakeel-review-'));
	const record = createRecord(recordPath);
	const isTroubled = process.env.TROUBLE !== '0';
	const parts = [];
	let hasHeld;
	try {
		const scene = await startDeployment(deployment, folder, record.write, parts);
		hasHeld = await play({...scene, isTroubled, record: record.write});
	} catch (error) {
		record.write(`the case couldn't run: ${error.stack}`);
	}

	for (const part of parts.toReversed()) {
		await part.close();
	}

	rmSync(folder, {recursive: true, force: true});
	const outcomes = new Map([[true, ['the rule held', ExitCode.Held]], [false, ['the rule was broken', ExitCode.Broken]]]);
	const [text, code] = outcomes.get(hasHeld) ?? ['the case couldn\'t run', ExitCode.NotRun];
	record.write(text);
	record.save();
	console.log(text);
	return code;
};
