import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	configuration, host, identifierOf, pathPrefix, service, zone,
} from '../second-deployment.mjs';
import {startFleet} from '../second-fleet.mjs';
import {send} from '../second-http.mjs';
import {describeOverlap, findOverlap} from '../second-overlap.mjs';
import {findPorts} from '../second-ports.mjs';
import {startRunner} from '../second-runner.mjs';
import {runCase} from '../second-scene.mjs';
import {createStore} from '../second-store.mjs';

const runnerCount = 5;
const rounds = 6;
const longTaskMilliseconds = 12_000;
/** The dose of `srv_cut`. */
const cutMilliseconds = 5000;
const expiryMilliseconds = 4500;
const heartbeatMilliseconds = 1500;
/** The owner is told to stop when its list has lacked the runner for so long, and the runner's lease is this long. */
const missingMilliseconds = 2470;
const leaseMilliseconds = 880;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({log, hasTrouble, atEnd}) => {
	/** By daemon, when it read the list of the runners last, how long after the one before, and since when the list has lacked runners. */
	const lists = new Map();
	const runners = [];
	const recordList = (daemon, keys) => {
		const before = lists.get(daemon);
		const at = performance.now();
		const missingSince = new Map();
		for (const {identifier} of runners) {
			if (!keys.includes(identifier)) {
				missingSince.set(identifier, before?.missingSince.get(identifier) ?? at);
			}
		}

		const elapsed = at - (before?.at ?? 0);
		lists.set(daemon, {at, interval: elapsed > 400 && elapsed < 700 ? elapsed : before?.interval ?? 510, missingSince});
	};

	const store = createStore({
		onRead(daemon, table, keys) {
			if (table === 'servers') {
				recordList(daemon, keys);
			}
		},
	});
	atEnd(() => store.close());
	store.put('op', 'config', configuration);
	const hosts = Array.from({length: runnerCount}, (_, index) => `127.0.32.${index + 1}`);
	const [port] = await findPorts(hosts, 1);
	for (const [index, runnerHost] of hosts.entries()) {
		const runner = await startRunner({
			identifier: `i-${index + 1}`, address: `${runnerHost}:${port}`, service, zone, labels: ['a', `r1-${index % 2}`], processor: 16_000, store, onEvent: log,
		});
		atEnd(() => runner.close());
		runners.push(runner);
	}

	const fleet = await startFleet({zones: {[zone]: 3}, store, log});
	atEnd(() => fleet.stop());
	await Promise.all(fleet.daemons.map(async daemon => daemon.untilReady()));
	// At their start all daemons read the list of the runners, not only the owner.
	await sleep(1500);
	log('ready');

	let jobs = 0;
	const submit = async (daemon, milliseconds, timeoutMilliseconds) => {
		jobs++;
		const job = identifierOf(jobs);
		log('sent', {job, to: daemon.name, milliseconds});
		const {status, text, detail} = await send(daemon.callers, {
			method: 'POST',
			path: pathPrefix + job,
			headers: {host, 'x-deadline-ms': String(timeoutMilliseconds)},
			body: {
				BestEffort: true, Spec: `${milliseconds} 6000`, Phases: [{
					Count: 1, Cpu: 6000, MemMb: 64, EstimateMs: milliseconds,
				}],
			},
			timeoutMilliseconds,
		});
		log('answered', {
			job, status, text, detail,
		});
	};

	/** The daemon that calls the runners is the one that reads their list each half second. */
	const findOwner = () => fleet.daemons.find(({name}) => performance.now() - (lists.get(name)?.at ?? Number.NEGATIVE_INFINITY) < 900);

	/** Cuts a runner from the store just before one of its heartbeats, so that its entry expires just before the owner reads the list. */
	const cutFromStore = async (runner, owner) => {
		const {at, interval} = lists.get(owner.name);
		const expiresAt = at + (interval * Math.ceil((performance.now() + expiryMilliseconds + 100 - at) / interval)) - 25;
		await sleep(expiresAt - expiryMilliseconds - performance.now());
		runner.beatNow();
		await sleep(heartbeatMilliseconds - 20);
		runner.cutFromStore(true);
		log('cut', {runner: runner.identifier, milliseconds: cutMilliseconds});
		setTimeout(() => {
			runner.cutFromStore(false);
			log('healed', {runner: runner.identifier});
		}, cutMilliseconds);
	};

	/** Tells the owner to stop while the runner works and its entry is still missing. */
	const stopOwner = async (owner, runner) => {
		const until = performance.now() + cutMilliseconds + 850;
		while (performance.now() < until) {
			const missing = performance.now() - (lists.get(owner.name).missingSince.get(runner.identifier) ?? Number.POSITIVE_INFINITY);
			if (missing > missingMilliseconds && runner.leaseRemaining() > leaseMilliseconds) {
				log('stopped', {daemon: owner.name, missingMilliseconds: Math.round(missing), leaseMilliseconds: runner.leaseRemaining()});
				owner.child.kill('SIGTERM');
				return true;
			}

			await sleep(1);
		}

		return false;
	};

	const restart = async daemon => {
		if (daemon.child.exitCode === null) {
			await once(daemon.child, 'exit');
		}

		daemon.start();
		await daemon.untilReady();
		await sleep(1500);
	};

	for (let round = 1; round <= rounds; round++) {
		const owner = findOwner();
		log('round', {round, owner: owner.name});
		const stream = setInterval(() => {
			void submit(owner, 40, 1500);
		}, 100);
		const long = submit(owner, longTaskMilliseconds, 25_000);
		await sleep(300);
		let isStopped = false;
		if (hasTrouble) {
			const runner = runners.find(one => one.active().some(({startedAt, endsAt}) => endsAt - startedAt > longTaskMilliseconds / 2));
			await cutFromStore(runner, owner);
			isStopped = await stopOwner(owner, runner);
		}

		await sleep(2500);
		const overlap = findOverlap(runners);
		clearInterval(stream);
		if (overlap) {
			return {isHeld: false, reason: describeOverlap(overlap)};
		}

		await long;
		if (isStopped) {
			await restart(owner);
		}
	}

	return {isHeld: true, reason: 'no task ran twice at the same time'};
});
