import {serveJson} from './second-http.mjs';

/** `HoldMaxMs` and `HeartbeatMs` of the small sites. */
const longestLeaseMilliseconds = 1000;
const heartbeatMilliseconds = 1500;
const tickMilliseconds = 2;

/**
A stand-in of a runner that guards its capacity (PROTOCOL.md, "Running tasks"). `Spec` has the run time of a task in milliseconds and the processor that it needs.

@param publicAddress Address at which the runner is listed, if it is that of a proxy in front of it.
@param onEvent Called with what was received and what became of it.
*/
export const startRunner = async ({identifier, address, publicAddress = address, service, zone, labels, processor, store, onEvent, isGuarding = true}) => {
	const [host, port] = address.split(':');
	const runs = [];
	const waiting = new Set();
	let life;
	let kind = labels;
	let isCutFromStore = false;
	let isCutFrom = () => false;
	let heartbeatTimer;
	let lastHoldAt = Number.NEGATIVE_INFINITY;

	const clock = () => Math.floor(performance.now() - life.startedAt);

	const begin = newLabels => {
		kind = newLabels;
		for (const run of life?.active ?? []) {
			run.endedAt = performance.now();
			run.how = 'crashed';
		}

		life = {
			startedAt: performance.now(), born: Date.now(), active: [], ended: [], highest: new Map(), token: 0, sequence: 0, leaseEndsAt: 0, beats: 0,
		};
	};

	const beat = () => {
		life.beats++;
		if (!isCutFromStore) {
			store.beat(identifier, {
				Service: service,
				Address: publicAddress,
				Zone: zone,
				Version: 'v1',
				Slots: 8,
				State: 'ready',
				ColdRemainingMs: 0,
				Capacity: {Cpu: processor, MemMb: 32_768, Gpu: 0},
				Labels: kind,
				ClockMs: clock(),
				Seq: life.beats,
				born: life.born,
			});
		}
	};

	const finish = (run, how) => {
		if (run.endedAt !== undefined) {
			return;
		}

		run.endedAt = performance.now();
		run.how = how;
		life.active = life.active.filter(one => one !== run);
		life.sequence++;
		life.ended.push([life.sequence, run.task, run.attempt, how, '']);
		life.highest.set(run.task, Math.max(run.attempt, life.highest.get(run.task) ?? 0));
		onEvent('end', {
			runner: identifier, task: run.task, attempt: run.attempt, how,
		});
		for (const wake of waiting) {
			wake();
		}
	};

	const update = () => {
		const now = performance.now();
		for (const run of life.active) {
			if (clock() >= life.leaseEndsAt) {
				finish(run, 'lapsed');
			} else if (now >= run.endsAt) {
				finish(run, 'done');
			}
		}
	};

	const extend = until => {
		life.leaseEndsAt = Math.max(life.leaseEndsAt, Math.min(until ?? 0, clock() + longestLeaseMilliseconds));
	};

	const start = ({Task, Attempt, Spec, UntilMs}, reply) => {
		const [milliseconds, needed] = Spec.split(' ').map(Number);
		const used = life.active.reduce((sum, run) => sum + run.processor, 0);
		const conflict = reason => {
			onEvent('rejected', {
				runner: identifier, task: Task, attempt: Attempt, reason,
			});
			reply(409, {ClockMs: clock(), Reason: reason, born: life.born});
		};

		if (life.active.some(({task, attempt}) => task === Task && attempt === Attempt)) {
			reply(200, {ClockMs: clock(), born: life.born});
		} else if (Attempt <= (life.highest.get(Task) ?? 0)) {
			extend(UntilMs);
			conflict('old');
		} else if (UntilMs <= clock()) {
			conflict('late');
		} else if (isGuarding && used + needed > processor) {
			extend(UntilMs);
			conflict('room');
		} else {
			extend(UntilMs);
			const now = performance.now();
			const run = {
				task: Task, attempt: Attempt, runner: identifier, labels: kind, startedAt: now, endsAt: now + milliseconds, processor: needed, endedAt: undefined, how: undefined,
			};
			runs.push(run);
			life.active.push(run);
			onEvent('start', {
				runner: identifier, labels: kind, task: Task, attempt: Attempt, used: used + needed, capacity: processor,
			});
			reply(200, {ClockMs: clock(), born: life.born});
		}
	};

	const stop = ({Task, Attempt}, reply) => {
		const run = life.active.find(({task, attempt}) => task === Task && attempt === Attempt);
		life.highest.set(Task, Math.max(Attempt, life.highest.get(Task) ?? 0));
		if (run) {
			finish(run, 'stopped');
		}

		reply(200, {ClockMs: clock(), born: life.born});
	};

	const hold = ({UntilMs, AckCursor = 0, WaitMs = 0}, reply) => {
		lastHoldAt = performance.now();
		extend(UntilMs);
		life.ended = life.ended.filter(([sequence]) => sequence > AckCursor);
		const answer = () => {
			clearTimeout(timeout);
			waiting.delete(answer);
			update();
			reply(200, {
				ClockMs: clock(), born: life.born, Active: life.active.map(run => [run.task, run.attempt, '', 100, run.processor]), Finished: life.ended.slice(0, 500),
			});
		};

		const timeout = setTimeout(answer, life.ended.length > 0 ? 0 : WaitMs);
		if (life.ended.length === 0) {
			waiting.add(answer);
		}
	};

	const serve = (request, body, reply) => {
		update();
		const expected = request.headers['x-expect-instance'];
		const token = body?.FencingToken ?? 0;
		if (isCutFrom(token)) {
			onEvent('not-delivered', {
				runner: identifier, path: request.url, token,
			});
			return;
		}

		if (expected !== undefined && expected !== identifier) {
			reply(421, {});
		} else if (token < life.token) {
			onEvent('fenced', {
				runner: identifier, path: request.url, token, task: body.Task,
			});
			reply(409, {ClockMs: clock(), Reason: 'fence', born: life.born});
		} else {
			life.token = token;
			const handlers = {'/run-start': start, '/run-stop': stop, '/hold': hold};
			const handle = handlers[request.url];
			if (handle) {
				handle(body, reply);
			} else {
				reply(404, {});
			}
		}
	};

	begin(labels);
	const server = await serveJson(host, Number(port), serve);
	const ticker = setInterval(update, tickMilliseconds);

	const scheduleBeats = () => {
		clearInterval(heartbeatTimer);
		beat();
		heartbeatTimer = setInterval(beat, heartbeatMilliseconds);
	};

	scheduleBeats();

	return {
		identifier,
		runs: () => runs,
		active: () => life.active,
		/** Time of the last call of `/hold`. */
		lastHoldAt: () => lastHoldAt,
		leaseRemaining: () => life.leaseEndsAt - clock(),
		/** Cuts the path between this runner and the store, and heals it. */
		cutFromStore(isCut) {
			isCutFromStore = isCut;
		},
		/** Cuts the path to the daemons with some fencing tokens: nothing of what they send arrives, and nothing is answered. */
		cutFrom(isOfToken) {
			isCutFrom = isOfToken;
		},
		/** Highest fencing token that has arrived. */
		token: () => life.token,
		/** The process of the runner ends, and nothing of it lasts. */
		die() {
			clearInterval(heartbeatTimer);
			begin(kind);
		},
		/** Another life of the runner begins, at the same address and with the same identifier. */
		restart(newLabels) {
			begin(newLabels);
			scheduleBeats();
		},
		beatNow: scheduleBeats,
		close() {
			clearInterval(ticker);
			clearInterval(heartbeatTimer);
			server.closeAllConnections();
			server.close();
		},
	};
};
