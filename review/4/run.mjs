/**
A runner's machine loses power, and half a second later the runner starts again under its Id. Does a task run twice at the same time?
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {
	hasTrouble, runCase, service, startFleet,
} from '../fleet.mjs';
import {startRunner} from '../runner.mjs';
import {startSilentProxy} from '../silent-proxy.mjs';

const steadyMilliseconds = 4000;
const rounds = 22;
const downMilliseconds = 500;
/** Time after its start in which the new life of the runner writes its entry; far below HeartbeatMs. */
const registerMilliseconds = 500;
const beforeJobMilliseconds = 30;
const taskMilliseconds = 1500;
const deadlineMilliseconds = 20_000;
const betweenRoundsMilliseconds = 800;
const betweenRoundsJitterMilliseconds = 1600;

const step = [{
	Count: 4, Cpu: 1000, MemMb: 64, EstimateMs: taskMilliseconds,
}];

const endOf = ({endedAt}) => endedAt ?? Number.POSITIVE_INFINITY;

/** Two runs of one task of which the second begins before the first has ended. */
const findOverlap = runs => {
	for (const first of runs) {
		const second = runs.find(run => run !== first && run.task === first.task && run.startedAt >= first.startedAt && run.startedAt < endOf(first));
		if (second) {
			return {first, second};
		}
	}

	return undefined;
};

await runCase(new URL('.', import.meta.url), async record => {
	const fleet = await startFleet({record, zones: [{name: 'north', daemons: 3, runners: Array.from({length: 7}, () => 8000)}]});
	const options = {
		id: 'i-north-small', zone: 'north', service, processor: 4000, labels: ['a', 'r-north-7'], history: fleet.history,
	};
	let runner = await startRunner(options);
	const proxy = await startSilentProxy(runner.port);
	fleet.store.put('servers', runner.id, runner.entry(proxy.address));

	const losePower = async () => {
		record.write(`${runner.id} loses power`);
		proxy.losePower();
		runner.crash();
		await sleep(downMilliseconds);
		runner = await startRunner(options);
		proxy.restorePower(runner.port);
		record.write(`${runner.id} is up again under its Id`);
		setTimeout(() => {
			record.write(`${runner.id} writes its entry`);
			fleet.store.put('servers', runner.id, runner.entry(proxy.address));
		}, registerMilliseconds);
	};

	try {
		await sleep(steadyMilliseconds);
		let overlap;
		for (let round = 0; round < rounds && !overlap; round++) {
			if (hasTrouble) {
				await losePower();
			}

			await sleep(beforeJobMilliseconds);
			const identifier = fleet.createIdentifier();
			await fleet.submit(fleet.daemons[0], identifier, step, {milliseconds: taskMilliseconds, deadlineMilliseconds});
			overlap = findOverlap(fleet.runsOf(identifier));
			await sleep(betweenRoundsMilliseconds + (Math.random() * betweenRoundsJitterMilliseconds));
		}

		fleet.recordRuns();
		if (!overlap) {
			return undefined;
		}

		const {first, second} = overlap;
		const milliseconds = Math.round(Math.min(endOf(first), endOf(second)) - second.startedAt);
		return `task ${first.task} ran as attempt ${first.attempt} on ${first.runner} and as attempt ${second.attempt} on ${second.runner} at the same time, for ${milliseconds} ms`;
	} finally {
		runner.close();
		proxy.close();
		await fleet.stop();
	}
});
