/**
A holder freezes for less than two seconds while two owners run parts of its job. Is the job said to be complete before all its tasks are done?
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {hasTrouble, runCase, startFleet} from '../fleet.mjs';

const steadyMilliseconds = 3500;
const freezeMilliseconds = 1800;
const beforeFreezeMilliseconds = 600;
const beforeWakeMilliseconds = 100;
const taskMilliseconds = 4000;
const deadlineMilliseconds = 30_000;
const tasks = 4;

const stepOf = count => [{
	Count: count, Cpu: 2000, MemMb: 64, EstimateMs: taskMilliseconds,
}];

await runCase(new URL('.', import.meta.url), async record => {
	const fleet = await startFleet({
		record, zones: [
			{name: 'north', daemons: 5, runners: [4000]},
			{name: 'south', daemons: 4, runners: [8000]},
		],
	});
	try {
		await sleep(steadyMilliseconds);
		const owner = fleet.ownerOf('north');
		const holder = fleet.daemons.find(daemon => daemon.zone === 'north' && daemon !== owner);
		record.write(`${owner.instance} owns the runner of north; ${holder.instance} holds the job`);

		// Two tasks find room in north, and two in south.
		const identifier = fleet.createIdentifier();
		const answer = fleet.submit(holder, identifier, stepOf(tasks), {milliseconds: taskMilliseconds, deadlineMilliseconds});
		await sleep(beforeFreezeMilliseconds);
		if (hasTrouble) {
			holder.signal('SIGSTOP');
		}

		// Another caller takes the room in north that the first job has left meanwhile.
		await sleep(freezeMilliseconds - beforeWakeMilliseconds);
		const other = fleet.submit(owner, fleet.createIdentifier(), stepOf(2), {milliseconds: taskMilliseconds, deadlineMilliseconds});
		await sleep(beforeWakeMilliseconds);
		if (hasTrouble) {
			holder.signal('SIGCONT');
		}

		const [{status, text, at}] = await Promise.all([answer, other]);
		fleet.recordRuns();
		const done = new Set(fleet.runsOf(identifier).filter(({how, endedAt}) => how === 'done' && endedAt <= at).map(({task}) => task));
		const isSaidComplete = status === 200 && JSON.parse(text).State === 'complete';
		return isSaidComplete && done.size < tasks ? `job ${identifier} was said to be complete when ${done.size} of its ${tasks} tasks had ended done` : undefined;
	} finally {
		await fleet.stop();
	}
});
