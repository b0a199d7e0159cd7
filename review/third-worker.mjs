import {setTimeout as sleep} from 'node:timers/promises';
import {answerJson, readText, serve} from './third-http.mjs';

/** Longest lease (`HoldMaxMs`), in milliseconds. */
const maximumLease = 1000;
const tickMilliseconds = 2;
const maximumWait = 2000;

/**
Starts a runner that speaks the platform's protocol. The specification of a task is its run time in milliseconds.

@param options.identifier The runner's id.
@param options.processor Its capacity in thousandths of a core.
@param options.record Writes a line to the record.
*/
export const startWorker = async ({host, identifier, zone, service, processor, rack, record}) => {
	const startedAt = performance.now();
	const born = Date.now();
	const runs = [];
	let active = [];
	let ended = [];
	const highestAttempts = new Map();
	let highestToken = 0;
	let sequence = 0;
	/** End of the lease on the runner's clock. */
	let leaseEndsAt = 0;
	let beats = 0;
	let isDraining = false;

	const clock = () => Math.floor(performance.now() - startedAt);
	const raise = (task, attempt) => {
		highestAttempts.set(task, Math.max(attempt, highestAttempts.get(task) ?? 0));
	};

	const finish = (run, how) => {
		active = active.filter(other => other !== run);
		run.endedAt = performance.now();
		run.how = how;
		raise(run.task, run.attempt);
		sequence++;
		ended.push([sequence, run.task, run.attempt, how, '']);
		record(`runner ${identifier}: ${run.task} attempt ${run.attempt} ends ${how}`);
	};

	const update = () => {
		for (const run of active) {
			if (clock() >= leaseEndsAt) {
				finish(run, 'lapsed');
			} else if (performance.now() >= run.endsAt) {
				finish(run, 'done');
			}
		}
	};

	const extend = until => {
		leaseEndsAt = Math.max(leaseEndsAt, Math.min(until ?? 0, clock() + maximumLease));
	};

	const reject = (response, reason) => {
		answerJson(response, 409, {ClockMs: clock(), born, Reason: reason});
	};

	const accept = response => {
		answerJson(response, 200, {ClockMs: clock(), born});
	};

	const start = (response, {Task, Attempt, Spec, UntilMs = 0}) => {
		if (active.some(({task, attempt}) => task === Task && attempt === Attempt)) {
			accept(response);
			return;
		}

		if (UntilMs <= clock()) {
			reject(response, 'late');
			return;
		}

		extend(UntilMs);
		const needed = Number(Spec.split(' ')[1]);
		const used = active.reduce((sum, run) => sum + run.processor, 0);
		if (Attempt <= (highestAttempts.get(Task) ?? 0)) {
			reject(response, 'old');
		} else if (used + needed > processor) {
			reject(response, 'room');
		} else {
			const run = {
				task: Task, attempt: Attempt, processor: needed, startedAt: performance.now(), endsAt: performance.now() + Number(Spec.split(' ')[0]),
			};
			active.push(run);
			runs.push(run);
			record(`runner ${identifier}: ${Task} attempt ${Attempt} starts`);
			accept(response);
		}
	};

	const stop = (response, {Task, Attempt}) => {
		const run = active.find(({task, attempt}) => task === Task && attempt === Attempt);
		if (run) {
			finish(run, 'stopped');
		}

		raise(Task, Attempt);
		accept(response);
	};

	const hold = async (response, {UntilMs, AckCursor = 0, WaitMs = 0}) => {
		extend(UntilMs);
		ended = ended.filter(([number]) => number > AckCursor);
		const until = performance.now() + Math.min(WaitMs, maximumWait);
		while (ended.length === 0 && performance.now() < until) {
			await sleep(tickMilliseconds);
		}

		answerJson(response, 200, {
			ClockMs: clock(), born, Active: active.map(run => [run.task, run.attempt, '', 100, run.processor]), Finished: ended.slice(0, 500),
		});
	};

	const server = await serve(host, async (request, response) => {
		const body = JSON.parse(await readText(request) || '{}');
		update();
		if ((request.headers['x-expect-instance'] ?? identifier) !== identifier) {
			answerJson(response, 421, {ClockMs: clock(), born});
			return;
		}

		const token = body.FencingToken ?? 0;
		if (token < highestToken) {
			reject(response, 'fence');
			return;
		}

		highestToken = token;
		if (request.url === '/run-start') {
			start(response, body);
		} else if (request.url === '/run-stop') {
			stop(response, body);
		} else {
			await hold(response, body);
		}
	});
	const timer = setInterval(update, tickMilliseconds);

	return {
		identifier,
		/** All runs since the runner was started. */
		runs: () => runs,
		/** Reports from now on that the runner drains. */
		drain() {
			isDraining = true;
		},
		/** The runner's entry in the store, with the next number. */
		entry() {
			beats++;
			return {
				Service: service,
				Address: server.address,
				Zone: zone,
				Version: 'v1',
				Slots: 8,
				State: isDraining ? 'draining' : 'ready',
				...(isDraining && {RemainingMs: 30_000}),
				ColdRemainingMs: 0,
				Capacity: {Cpu: processor, MemMb: 32_768, Gpu: 0},
				Labels: ['a', rack],
				ClockMs: clock(),
				born,
				Seq: beats,
			};
		},
		close() {
			clearInterval(timer);
			server.close();
		},
	};
};
