/**
The holder of a job freezes just after the job's tasks have started. Is the job refused although it ran?
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {hasTrouble, runCase, startFleet} from '../fleet.mjs';

const steadyMilliseconds = 4000;
const rounds = 5;
const beforeFreezeMilliseconds = 30;
const freezeMilliseconds = 1800;
const betweenRoundsMilliseconds = 3500;
const deadlineMilliseconds = 15_000;
/** The tasks take seven times as long as estimated, as the longest of the site. */
const estimateMilliseconds = 300;
const workMilliseconds = 2100;
const refusals = new Set([404, 429, 503]);

const step = [{
	Count: 2, Cpu: 2000, MemMb: 64, EstimateMs: estimateMilliseconds,
}];

await runCase(new URL('.', import.meta.url), async record => {
	const fleet = await startFleet({
		record, zones: [
			{name: 'north', daemons: 5, runners: [8000, 8000]},
			{name: 'south', daemons: 4, runners: [8000, 8000]},
		],
	});
	try {
		await sleep(steadyMilliseconds);
		const owner = fleet.ownerOf('north');
		const holder = fleet.daemons.find(daemon => daemon.zone === 'north' && daemon !== owner);
		let broken;
		for (let round = 0; round < rounds && !broken; round++) {
			const identifier = fleet.createIdentifier();
			const answer = fleet.submit(holder, identifier, step, {milliseconds: workMilliseconds, deadlineMilliseconds});
			await sleep(beforeFreezeMilliseconds);
			if (hasTrouble) {
				holder.signal('SIGSTOP');
			}

			await sleep(freezeMilliseconds);
			if (hasTrouble) {
				holder.signal('SIGCONT');
			}

			const {status} = await answer;
			const runs = fleet.runsOf(identifier);
			if (refusals.has(status) && runs.length > 0) {
				broken = `job ${identifier} was sent once and refused with ${status}, and ${runs.length} runs of its tasks had started`;
			}

			await sleep(betweenRoundsMilliseconds);
		}

		fleet.recordRuns();
		return broken;
	} finally {
		await fleet.stop();
	}
});
