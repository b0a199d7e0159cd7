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

const runnersAtFirst = 4;
const mostRunners = 10;
const rounds = 5;
/** One of nine is the share of the sites, 0.11. */
const daemonCount = 9;
/** The shortest and longest freeze; the dose of the sites is 3.5 to 4 s. */
const leastFreezeMilliseconds = 1500;
const mostFreezeMilliseconds = 3000;
/** The new runner starts within this time after the next owner has read the list of the runners. */
const afterListMilliseconds = 60;

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
	const runners = [];
	const hosts = Array.from({length: mostRunners}, (_, index) => `127.0.32.${index + 1}`);
	const [port] = await findPorts(hosts, 1);
	const addRunner = async () => {
		const index = runners.length;
		const runner = await startRunner({
			identifier: `i-${index + 1}`, address: `${hosts[index]}:${port}`, service, zone, labels: ['a', `r1-${index % 2}`], processor: 16_000, store, onEvent: log,
		});
		atEnd(() => runner.close());
		runners.push(runner);
		log('runner-added', {runner: runner.identifier});
	};

	for (let index = 0; index < runnersAtFirst; index++) {
		await addRunner();
	}

	const fleet = await startFleet({zones: {[zone]: daemonCount}, store, log});
	atEnd(() => fleet.stop());
	await Promise.all(fleet.daemons.map(async daemon => daemon.untilReady()));
	// At their start all daemons read the list of the runners, not only the owner.
	await sleep(1500);
	log('ready');

	let jobs = 0;
	const submit = async (daemon, {milliseconds, count, processor}) => {
		jobs++;
		const job = identifierOf(jobs);
		log('sent', {
			job, to: daemon.name, tasks: count, milliseconds,
		});
		const {status, text, detail} = await send(daemon.callers, {
			method: 'POST',
			path: pathPrefix + job,
			headers: {host, 'x-deadline-ms': '15000'},
			body: {
				BestEffort: true, Spec: `${milliseconds} ${processor}`, Phases: [{
					Count: count, Cpu: processor, MemMb: 64, EstimateMs: milliseconds,
				}],
			},
			timeoutMilliseconds: 15_000,
		});
		log('answered', {
			job, status, text, detail,
		});
	};

	/** The daemon that calls the runners is the one that reads their list each half second. */
	const findOwner = () => fleet.daemons.find(({name}) => performance.now() - (lists.get(name) ?? Number.NEGATIVE_INFINITY) < 900);

	/** Waits until the next owner has just read the list of the runners. */
	const untilNextOwnerHasRead = async (owner, frozenAt) => {
		const until = frozenAt + mostFreezeMilliseconds;
		while (performance.now() < until) {
			const next = fleet.daemons.find(daemon => daemon !== owner && (lists.get(daemon.name) ?? 0) > frozenAt + leastFreezeMilliseconds);
			if (next && performance.now() - lists.get(next.name) < afterListMilliseconds) {
				return next;
			}

			await sleep(2);
		}

		return undefined;
	};

	const freezeOwner = async owner => {
		const frozenAt = performance.now();
		owner.child.kill('SIGSTOP');
		log('frozen', {daemon: owner.name});
		const next = await untilNextOwnerHasRead(owner, frozenAt);
		await addRunner();
		owner.child.kill('SIGCONT');
		log('woken', {daemon: owner.name, next: next?.name, frozenMilliseconds: Math.round(performance.now() - frozenAt)});
	};

	for (let round = 1; round <= rounds; round++) {
		const owner = findOwner();
		log('round', {round, owner: owner.name});
		// A task of the first job on each runner leaves no room for the tasks of the second one, which wait.
		const answers = [submit(owner, {milliseconds: 6000, count: runners.length, processor: 10_000})];
		await sleep(100);
		answers.push(submit(owner, {milliseconds: 3000, count: 2, processor: 8000}));
		await sleep(400);
		await (hasTrouble ? freezeOwner(owner) : addRunner());
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
