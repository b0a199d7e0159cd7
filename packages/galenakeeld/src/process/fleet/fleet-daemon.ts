import {performance} from 'node:perf_hooks';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {createCallerServer, createReadinessServer} from '@galenakeel/platform/connection/caller-server.js';
import {createEndpointClient} from '@galenakeel/platform/connection/endpoint-client.js';
import {createStoreClient} from '@galenakeel/platform/connection/store-client.js';
import {detailOf} from '@galenakeel/model/request/fault.js';
import {JobEnd, RefusalReason, type Job} from '@galenakeel/model/request/job.js';
import {findQueue, type Queue} from '@galenakeel/model/version/queue-configuration.js';
import {FleetMessageKind, type Beat, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import {createPeerStream, serveFleet} from '../../connection/fleet-service.js';
import {holdJob, type JobAnswer} from '../../request/hold-job.js';
import {createCell} from '../cells/cell.js';
import type {Log} from '../log.js';
import {encodeMetrics} from '../prometheus-text.js';
import {findOwner} from './cell-claims.js';
import {createCellLoads} from './cell-loads.js';
import {createConfigurationWatch} from './configuration-watch.js';
import {createDecisionLog} from './decision-log.js';
import {createEndpointLists} from './endpoint-lists.js';
import {FleetEvent} from './fleet-event.js';
import {createFleetLinks} from './fleet-links.js';
import {createFleetMetrics} from './fleet-metrics.js';
import type {FleetSettings} from './fleet-settings.js';
import {createFleetView} from './fleet-view.js';
import {createHeldJobs, HolderEvent, type CellOwner} from './held-jobs.js';
import {closeServer, listen} from './listen.js';
import {createLoadAnnouncements} from './load-announcements.js';
import {createEndpointProbe} from './probe-endpoints.js';
import {createSelfDescription} from './self-description.js';
import {watchEndpoints, watchMembers, type TryStore} from './store-watches.js';
import {createOwnedCells} from './owned-cells.js';

/**
A running daemon.
*/
export type FleetDaemon = {
	/** Leaves the fleet: hands its cells over, answers what it holds, and resolves with the number of callers without an answer. */
	readonly leave: () => Promise<number>;
};

const tickMilliseconds = 50;
const announceLoadsMilliseconds = 10;
/** Time after the start in which peers are heard before a cell is claimed. */
const firstLookMilliseconds = 300;
/** The same for a daemon that has heard nobody. */
const firstLookAloneMilliseconds = 3000;
const mostLinesOfAnEvent = 40;
/** Gap between two ticks that tells that the process stood still. */
const pauseMilliseconds = 500;
/** Age up to which the configuration counts as the newest. */
const freshMilliseconds = 2500;
/** A run lives at most this much longer than its lease: a slow clock, and the time until an owner notices its holder's loss. */
const leaseSlackMilliseconds = 300;
/** Time in which beats show the owner that an endpoint obeys. */
const fenceMilliseconds = 400;
/** Time in which the platform notices that a leaving daemon isn't ready. */
const announceMilliseconds = 2200;
/** Share of the time until the kill in which a leaving daemon takes jobs; callers with open connections go on using them. */
const acceptShare = 0.5;
const drainLookMilliseconds = 20;
/** Time before the kill at which a leaving daemon ends by itself. */
const drainReserveMilliseconds = 300;

const splitListen = (address: string): readonly [host: string, port: number] => {
	const separator = address.lastIndexOf(':');
	return [address.slice(0, separator), Number(address.slice(separator + 1))];
};

/**
Starts a daemon: serves callers, holds their jobs, and orders the endpoints of the cells that it claims.

@example
```
const daemon = await startFleetDaemon(settings, log);
await daemon.leave();
```
*/
export const startFleetDaemon = async (settings: FleetSettings, log: Log): Promise<FleetDaemon> => {
	const startedAt = Date.now();
	const startedSteady = performance.now();
	const self = settings.listen.peers;
	const decide = createDecisionLog(log, mostLinesOfAnEvent);
	const metrics = createFleetMetrics();
	const view = createFleetView();
	const heldJobs = createHeldJobs();
	const leaving = new AbortController();
	let isServing = false;
	let tickedAt = performance.now();
	/** Steady milliseconds up to which jobs are taken. */
	let acceptsUntil = Number.POSITIVE_INFINITY;

	const store = createStoreClient(settings.platform.address, key => {
		decide(FleetEvent.UnreadableEntry, {key});
	});

	const configuration = createConfigurationWatch(store, {
		onInstall({version, queues}) {
			log.info({event: FleetEvent.ConfigurationInstalled, version, queues: queues.length});
		},
		onLost(detail) {
			log.warn({event: FleetEvent.StoreLost, detail});
		},
		onRegained() {
			log.info({event: FleetEvent.StoreRegained});
		},
	});

	const loads = createCellLoads(settings.zones, view);
	const probeEndpoints = createEndpointProbe(createEndpointClient);

	const cells = createOwnedCells({
		zones: settings.zones,
		async reaches(zone) {
			const entries = await tryStore('listEndpoints', store.listEndpoints);
			return entries !== undefined && probeEndpoints(entries.filter(entry => entry.zone === zone));
		},
		createCell: (zone, token) => createCell({
			zone,
			token,
			holdMaximumMilliseconds: settings.leases.maximumMilliseconds,
			listedSince: () => cells.listedSince(zone),
			remotePenalty: settings.remotePenalty,
			createCalls: createEndpointClient,
			notify(holder, news) {
				links.send(holder, news);
			},
			otherCells: () => loads.otherRooms(zone),
			kindFactors: () => loads.kindFactors(zone),
			onRedirected: loads.noteRedirect,
			onFenced() {
				fencedAt.set(zone, fencedAt.get(zone) ?? performance.now());
			},
			onDecision(decision, fields) {
				metrics.countDecision(decision);
				decide(decision, {cell: zone, ...fields});
			},
			onTaskWait: metrics.recordTaskWait,
		}),
		onClaimed(zone, token) {
			log.info({event: FleetEvent.CellClaimed, cell: zone, token});
		},
		onYielded(zone, token) {
			log.info({event: FleetEvent.CellYielded, cell: zone, token});
		},
	});
	/** Steady milliseconds at which an endpoint of a cell was first found to obey another owner. */
	const fencedAt = new Map<string, number>();

	const description = createSelfDescription({
		settings,
		startedAt,
		cells,
		view,
		configurationVersion: () => configuration.current()?.version ?? -1,
		isLeaving: () => leaving.signal.aborted,
	});

	const ownerOf = (cell: string): CellOwner | undefined => {
		const owner = findOwner(cell, [description.claimant(), ...view.all()]);
		return owner && {address: owner.address, ...owner.claims.get(cell)!};
	};

	const onMessage = (message: FleetMessage, from: string): void => {
		switch (message.kind) {
			case FleetMessageKind.Beat: {
				onBeat(message);
				break;
			}

			case FleetMessageKind.Submit: {
				cells.outbid(message.cell, message.order.highestToken);
				cells.get(message.cell)?.submit(from, message.order);
				break;
			}

			case FleetMessageKind.Withdraw: {
				cells.get(message.cell)?.cancel(from, message.job, message.part);
				break;
			}

			case FleetMessageKind.Configuration: {
				configuration.offer(message.configuration);
				break;
			}

			case FleetMessageKind.Load: {
				view.hearLoad(from, message.cell, message.load);
				break;
			}

			case FleetMessageKind.Endpoints: {
				cells.remember(message.cell, message.entries);
				break;
			}

			case FleetMessageKind.Started:
			case FleetMessageKind.TaskSucceeded:
			case FleetMessageKind.Redirect:
			case FleetMessageKind.Refuse:
			case FleetMessageKind.End: {
				heldJobs.deliver(from, message);
				break;
			}
		}
	};

	const onBeat = ({address, configurationVersion, claims}: Beat): void => {
		loads.noteClaims(claims);
		const current = configuration.current();
		if (current && configurationVersion < current.version) {
			links.send(address, {kind: FleetMessageKind.Configuration, configuration: current});
		}
	};

	const links = await createFleetLinks({
		serve: serveFleet,
		openStream: createPeerStream,
		address: self,
		view,
		createBeat: description.createBeat,
		paceTo: description.paceTo,
		onMessage,
		onPeerHeard(peer) {
			const {instance, address, startedAt: peerStartedAt} = peer;
			lists.greet(peer);
			log.info({
				event: FleetEvent.PeerHeard, peer: instance, address, startedAt: peerStartedAt,
			});
		},
		onPeerLost(peer, cause) {
			const {instance, address, heardAt} = peer;
			log.warn({
				event: FleetEvent.PeerLost, peer: instance, address, cause, silentMilliseconds: Math.round(performance.now() - heardAt),
			});
			cells.noteLoss(peer, cause);
			for (const cell of cells.all()) {
				cell.dropHolder(address);
			}

			// Several peers may be lost at once, and a claim needs to know of all.
			setImmediate(review);
		},
		onReached(address) {
			heldJobs.announceReached(address);
			lists.greet(view.get(address));
		},
		onBroken(address, detail) {
			decide(FleetEvent.PeerStreamBroken, {address, detail});
		},
	});

	const lists = createEndpointLists({
		ownedZones: () => cells.all().map(({zone}) => zone),
		endpointsOf: cells.endpointsOf,
		peers: view.all,
		send: links.send,
	});

	const isFirstLookOver = (): boolean =>
		performance.now() - startedSteady > (view.all().length > 0 ? firstLookMilliseconds : firstLookAloneMilliseconds);

	const review = (): void => {
		if (isFirstLookOver() && cells.review(description.claimant, view.all(), performance.now() - startedSteady)) {
			links.announce();
		}

		heldJobs.checkOwners(ownerOf);
	};

	/** An endpoint that obeys another daemon than the owner in sight is taken back, once beats have had time to show that owner. */
	const reviewFences = (): void => {
		for (const [zone, at] of fencedAt) {
			if (performance.now() - at > fenceMilliseconds) {
				fencedAt.delete(zone);
				if (cells.get(zone)) {
					log.warn({event: FleetEvent.CellFenced, cell: zone, peers: view.all().length});
					cells.contest(zone, view.all().length > 0);
					links.announce();
				}
			}
		}
	};

	const loadTimer = setInterval(createLoadAnnouncements({claims: cells.claims, peers: view.all, send: links.send}), announceLoadsMilliseconds);

	const tick = (): void => {
		const now = performance.now();
		const gap = now - tickedAt;
		tickedAt = now;
		if (gap > pauseMilliseconds) {
			log.warn({event: FleetEvent.Paused, milliseconds: Math.round(gap)});
			// Beats that arrived meanwhile are read before silence is judged.
			return;
		}

		links.sweep();
		review();
		reviewFences();
	};

	const timer = setInterval(tick, tickMilliseconds);

	const tryStore: TryStore = async (call, perform) => {
		try {
			return await perform();
		} catch (error) {
			decide(FleetEvent.StoreCallFailed, {call, detail: detailOf(error)});
			return undefined;
		}
	};

	const awaitOwner = async (cell: string, waitMilliseconds: number): Promise<CellOwner | undefined> => {
		const until = performance.now() + waitMilliseconds;
		for (;;) {
			const owner = ownerOf(cell);
			if (owner !== undefined || performance.now() >= until) {
				return owner;
			}

			await sleep(Math.min(drainLookMilliseconds, Math.max(1, until - performance.now())));
		}
	};

	const submit = async (job: Job, queue: Queue, left: AbortSignal): Promise<JobAnswer> => {
		const arrivedAt = performance.now();
		const answer = await holdJob(job, queue, {
			homeCell: settings.zone,
			hold(part) {
				const held = heldJobs.hold(job.identifier, part);
				left.addEventListener('abort', () => {
					held.news.push({kind: HolderEvent.CallerLeft});
				});
				return held;
			},
			awaitOwner,
			otherCells: () => settings.zones.filter(zone => zone !== settings.zone && ownerOf(zone) !== undefined),
			send(owner, message) {
				links.send(owner.address, message);
			},
			leaseMilliseconds: settings.leases.maximumMilliseconds + leaseSlackMilliseconds,
		});
		const milliseconds = performance.now() - arrivedAt;
		metrics.recordJob(queue.name, answer.end, milliseconds);
		decide(FleetEvent.JobAnswered, {
			job: job.identifier, queue: queue.name, end: answer.end ?? 'unknown', ...(answer.end === JobEnd.Refused && {reason: answer.reason}), milliseconds: Math.round(milliseconds),
		});
		return answer;
	};

	const callerServer = createCallerServer<Queue>({
		findQueue(host, path) {
			if (performance.now() > acceptsUntil) {
				return RefusalReason.Leaving;
			}

			const current = configuration.current();
			if (!current) {
				return RefusalReason.NoConfiguration;
			}

			const queue = findQueue(current, host, path);
			// A daemon that may have missed a newer configuration can't say that a queue doesn't exist.
			const absent = configuration.ageMilliseconds() < freshMilliseconds ? RefusalReason.UnknownQueue : RefusalReason.NoConfiguration;
			return queue ? {queue, pathPrefix: queue.pathPrefix} : absent;
		},
		submit,
		mostBodyBytes: () => configuration.current()?.limits.bodyBytes ?? 0,
		isLeaving: () => leaving.signal.aborted,
		onFailure(detail) {
			decide(FleetEvent.RequestFailed, {detail});
		},
	});
	const isReady = (): boolean => isServing && !leaving.signal.aborted && configuration.current() !== undefined && ownerOf(settings.zone) !== undefined && cells.endpointsOf(settings.zone) !== undefined;
	const readinessServer = createReadinessServer(isReady);
	const metricsServer = createServer((_, response) => {
		response.setHeader('content-type', 'text/plain; version=0.0.4');
		response.end(encodeMetrics([...metrics.families(), metrics.gauge('galenakeel_held_jobs', 'Jobs that wait for their end.', heldJobs.count())]));
	});
	await Promise.all([
		listen(callerServer, ...splitListen(settings.listen.callers)),
		listen(readinessServer, ...splitListen(settings.listen.readiness)),
		listen(metricsServer, ...splitListen(settings.listen.metrics)),
	]);
	isServing = true;
	links.meet(settings.seeds.map(address => `${address}:${splitListen(self)[1]}`));
	void configuration.run();
	void watchMembers({
		store, tryStore, leaving: leaving.signal, self: {instance: settings.instance, address: self, zone: settings.zone}, meet: links.meet,
	});
	void watchEndpoints({
		store, tryStore, leaving: leaving.signal, ownedCells: cells.count, install(entries) {
			cells.install(entries);
			lists.announce();
		},
	});
	log.info({event: FleetEvent.Serving, callers: settings.listen.callers, peers: self});

	return {
		async leave() {
			const limitAt = performance.now() + settings.drain.limitMilliseconds - drainReserveMilliseconds;
			leaving.abort();
			acceptsUntil = performance.now() + (acceptShare * settings.drain.limitMilliseconds);
			log.info({event: FleetEvent.Leaving, held: heldJobs.count()});
			links.announce();
			void tryStore('removeMember', async () => store.removeMember(settings.instance));
			await sleep(announceMilliseconds);
			while (heldJobs.count() > 0 && performance.now() < limitAt) {
				await sleep(drainLookMilliseconds);
			}

			const cut = heldJobs.count();
			clearInterval(timer);
			clearInterval(loadTimer);
			configuration.close();
			cells.close();
			links.close();
			await closeServer(callerServer, Math.max(0, limitAt - performance.now()));
			log.info({event: FleetEvent.Stopped, cut});
			return cut;
		},
	};
};
