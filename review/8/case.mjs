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
const rounds = 5;
/** One of nine is the share of the sites, 0.11. */
const daemonCount = 9;
/** The dose of `node_freeze`. */
const freezeMilliseconds = 3500;
/** The dose of `srv_cut`. */
const cutMilliseconds = 5000;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({log, hasTrouble, atEnd}) => {
	/** Time at which each daemon read the list of the runners last. */
	const lists = new Map();
	const store = createStore({
		onRead(daemon, table) {
			if (table === 'servers') {
				lists.set(daemon, performance.now());
			}
		},
	});
	atEnd(() => store.close());
	store.put('op', 'config', configuration);
	const hosts = Array.from({length: runnerCount}, (_, index) => `127.0.32.${index + 1}`);
	const [port] = await findPorts(hosts, 1);
	const runners = [];
	for (const [index, runnerHost] of hosts.entries()) {
		const runner = await startRunner({
			identifier: `i-${index + 1}`, address: `${runnerHost}:${port}`, service, zone, labels: ['a', `r1-${index % 2}`], processor: 16_000, store, onEvent: log,
		});
		atEnd(() => runner.close());
		runners.push(runner);
	}

	const fleet = await startFleet({zones: {[zone]: daemonCount}, store, log});
	atEnd(() => fleet.stop());
	await Promise.all(fleet.daemons.map(async daemon => daemon.untilReady()));
	// At their start all daemons read the list of the runners, not only the owner.
	await sleep(1500);
	log('ready');

	let jobs = 0;
	const submit = async (daemon, {milliseconds, count, processor, deadlineMilliseconds}) => {
		jobs++;
		const job = identifierOf(jobs);
		log('sent', {
			job, to: daemon.name, tasks: count, milliseconds,
		});
		const {status, text, detail} = await send(daemon.callers, {
			method: 'POST',
			path: pathPrefix + job,
			headers: {host, 'x-deadline-ms': String(deadlineMilliseconds)},
			body: {
				BestEffort: true, Spec: `${milliseconds} ${processor}`, Phases: [{
					Count: count, Cpu: processor, MemMb: 64, EstimateMs: milliseconds,
				}],
			},
			timeoutMilliseconds: deadlineMilliseconds,
		});
		log('answered', {
			job, status, text, detail,
		});
	};

	/** The daemon that calls the runners is the one that reads their list each half second. */
	const findOwner = () => fleet.daemons.find(({name}) => performance.now() - (lists.get(name) ?? Number.NEGATIVE_INFINITY) < 900);

	/** Cuts one runner off from the daemon that takes the cell over, while the owner is frozen. */
	const cutAndFreeze = async (owner, runner) => {
		const ownToken = runner.token();
		let cutToken;
		runner.cutFrom(token => {
			cutToken ??= token === ownToken ? undefined : token;
			return token === cutToken;
		});
		setTimeout(() => {
			runner.cutFrom(() => false);
			log('healed', {runner: runner.identifier});
		}, cutMilliseconds);
		log('cut', {runner: runner.identifier, from: 'the next owner'});
		await sleep(100);
		owner.child.kill('SIGSTOP');
		log('frozen', {daemon: owner.name});
		await sleep(freezeMilliseconds);
		owner.child.kill('SIGCONT');
		log('woken', {daemon: owner.name});
	};

	for (let round = 1; round <= rounds; round++) {
		const owner = findOwner();
		log('round', {round, owner: owner.name});
		// A task of the first job on each runner leaves no room for the tasks of the second one, which wait. The caller of the first one leaves at its deadline.
		const answers = [submit(owner, {
			milliseconds: 6000, count: runners.length, processor: 10_000, deadlineMilliseconds: 3000,
		})];
		await sleep(100);
		answers.push(submit(owner, {
			milliseconds: 3000, count: 2, processor: 8000, deadlineMilliseconds: 15_000,
		}));
		await sleep(400);
		if (hasTrouble) {
			await cutAndFreeze(owner, runners[round % runners.length]);
		}

		await sleep(2500);
		const overlap = findOverlap(runners);
		if (overlap) {
			return {isHeld: false, reason: describeOverlap(overlap)};
		}

		await Promise.all(answers);
		await sleep(1000);
	}

	return {isHeld: true, reason: 'no task ran twice at the same time'};
});
