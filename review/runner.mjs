/**
Stand-in of a runner, as PROTOCOL.md describes it ("Running tasks", "Service discovery"). The specification of a task is the number of milliseconds that it works.
*/
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {startJsonServer} from './http.mjs';

const holdMaximumMilliseconds = 1000;
const maximumWaitMilliseconds = 2000;
const stopMilliseconds = 10;
const tickMilliseconds = 2;
const maximumEnds = 500;

/**
Starts a runner. `history` collects all its runs, also those of earlier lives, with times in milliseconds of this process.

@param options.processor Capacity in thousandths of a core.
@param options.port Port to listen on; a free one by default.
*/
export const startRunner = async ({
	id, zone, service, processor, labels = ['a', 'r1'], history = [], port = 0,
}) => {
	const bornAt = performance.now();
	const born = Date.now();
	const active = new Set();
	const highest = new Map();
	const wakers = new Set();
	let ends = [];
	let sequence = 0;
	let token = 0;
	let leaseEnd = 0;
	let state = 'ready';
	let isDown = false;

	const clock = () => Math.floor(performance.now() - bornAt);

	const end = (run, how) => {
		if (!active.delete(run)) {
			return;
		}

		run.endedAt = performance.now();
		run.how = how;
		sequence++;
		ends.push([sequence, run.task, run.attempt, how, '']);
		highest.set(run.task, Math.max(run.attempt, highest.get(run.task) ?? 0));
		for (const wake of wakers) {
			wake();
		}
	};

	const update = () => {
		for (const run of active) {
			if (clock() >= leaseEnd) {
				end(run, 'lapsed');
			} else if (performance.now() >= run.dueAt) {
				end(run, 'done');
			}
		}
	};

	const extend = until => {
		leaseEnd = Math.max(leaseEnd, Math.min(until ?? 0, clock() + holdMaximumMilliseconds));
	};

	const reply = (status, body = {}) => ({
		status, body: {
			ClockMs: clock(), born, Id: id, ...body,
		},
	});

	const start = ({Task, Attempt, Spec, UntilMs}) => {
		if ([...active].some(({task, attempt}) => task === Task && attempt === Attempt)) {
			return reply(200);
		}

		if (UntilMs <= clock()) {
			return reply(409, {Reason: 'late'});
		}

		if (Attempt <= (highest.get(Task) ?? 0)) {
			extend(UntilMs);
			return reply(409, {Reason: 'old'});
		}

		const {milliseconds, cpu} = JSON.parse(Spec);
		const used = [...active].reduce((sum, run) => sum + run.cpu, 0);
		if (used + cpu > processor) {
			extend(UntilMs);
			return reply(409, {Reason: 'room'});
		}

		extend(UntilMs);
		const run = {
			runner: id, born, task: Task, attempt: Attempt, token, cpu, startedAt: performance.now(), dueAt: performance.now() + milliseconds, endedAt: undefined, how: undefined,
		};
		active.add(run);
		history.push(run);
		return reply(200);
	};

	const stop = async ({Task, Attempt}) => {
		highest.set(Task, Math.max(Attempt, highest.get(Task) ?? 0));
		const run = [...active].find(({task, attempt}) => task === Task && attempt === Attempt);
		if (run) {
			setTimeout(end, stopMilliseconds, run, 'stopped');
		}

		return reply(200);
	};

	const hold = async ({UntilMs, AckCursor = 0, WaitMs = 0}) => {
		extend(UntilMs);
		ends = ends.filter(([number]) => number > AckCursor);
		if (ends.length === 0 && WaitMs > 0) {
			const waiting = new AbortController();
			const wake = () => {
				waiting.abort();
			};

			wakers.add(wake);
			await sleep(Math.min(WaitMs, maximumWaitMilliseconds), undefined, {signal: waiting.signal}).catch(() => undefined);
			wakers.delete(wake);
		}

		return reply(200, {Active: [...active].map(({task, attempt, cpu}) => [task, attempt, '', 100, cpu]), Finished: ends.slice(0, maximumEnds)});
	};

	const calls = {'/run-start': start, '/run-stop': stop, '/hold': hold};

	const server = await startJsonServer(async ({url, headers, body}) => {
		if (isDown) {
			throw new Error('the runner is down');
		}

		update();
		const expected = headers['x-expect-instance'];
		if (expected !== undefined && expected !== id) {
			return reply(421);
		}

		const call = calls[url.pathname];
		if (!call) {
			return reply(url.pathname === '/healthz' ? 200 : 404);
		}

		if ((body.FencingToken ?? 0) < token) {
			return reply(409, {Reason: 'fence'});
		}

		token = body.FencingToken ?? 0;
		return call(body);
	}, port);
	const timer = setInterval(update, tickMilliseconds);

	return {
		id,
		address: server.address,
		port: server.port,
		history,
		/** The entry of the runner in the store. */
		entry: (address = server.address) => ({
			Service: service, Address: address, Zone: zone, Version: 'v1', Slots: 8, State: state, ColdRemainingMs: 0,
			Capacity: {Cpu: processor, MemMb: 32_768, Gpu: 0}, Labels: labels, ClockMs: clock(), Seq: 1, born,
		}),
		drain() {
			state = 'draining';
		},
		/** Ends this life of the runner: all that runs on it ends, and its connections are reset. */
		crash() {
			isDown = true;
			clearInterval(timer);
			for (const run of active) {
				run.endedAt = performance.now();
				run.how = 'crashed';
			}

			active.clear();
			server.close();
		},
		close() {
			clearInterval(timer);
			server.close();
		},
	};
};
