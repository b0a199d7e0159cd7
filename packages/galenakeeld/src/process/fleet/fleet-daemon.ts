import {performance} from 'node:perf_hooks';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {createCallerServer, createReadinessServer} from '@galenakeel/platform/connection/caller-server.js';
import {createEndpointClient} from '@galenakeel/platform/connection/endpoint-client.js';
import {createStoreClient} from '@galenakeel/platform/connection/store-client.js';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import type {MemberRow} from '@galenakeel/model/connection/store-calls.js';
import {detailOf} from '@galenakeel/model/request/fault.js';
import {JobEnd} from '@galenakeel/model/request/job.js';
import type {Queue} from '@galenakeel/model/version/queue-configuration.js';
import {FleetMessageKind} from '@galenakeel/model/connection/fleet-message.js';
import {createPeerStream, sendAlone, serveFleet} from '../../connection/fleet-service.js';
import {holdJob} from '../../request/hold-job.js';
import {isRoutineOfHolder} from '../../request/holder-decision.js';
import {createCell} from '../cells/cell.js';
import {isRoutine} from '../cells/cell-decision.js';
import type {Log} from '../log.js';
import {encodeMetrics} from '../prometheus-text.js';
import {createSuspensionDetector} from '../suspension-detector.js';
import {createCallerWaits} from './caller-waits.js';
import {cellOfEndpoint} from './cell-layout.js';
import {createCellOwners} from './cell-owners.js';
import {createCellLayoutWatch} from './cell-layout-watch.js';
import {describeClaim, describeYield} from './cell-log.js';
import {createClaimReview} from './claim-review.js';
import {createDiscovery} from './discovery.js';
import {createCellLoads} from './cell-loads.js';
import {createConfigurationFollower} from './configuration-follower.js';
import {createDaemonLoad, isWorthLogging} from './daemon-load.js';
import {createRateLimitedLog} from './rate-limited-log.js';
import {createEndpointListAnnouncements} from './endpoint-list-announcements.js';
import {FleetEvent} from './fleet-event.js';
import {createFleetLinks} from './fleet-links.js';
import {createFleetMetrics} from './fleet-metrics.js';
import type {FleetSettings} from './fleet-settings.js';
import {createFleetView} from './fleet-view.js';
import {mediumInterval, shortInterval, Urgency} from './heartbeat-interval.js';
import {createHeldJobs} from './held-jobs.js';
import {createJobIntake, refusalOf} from './job-intake.js';
import {createJobMessageReceiver} from './job-message-receiver.js';
import {closeServer, listen} from './listen.js';
import {createMessageReceiver} from './message-receiver.js';
import {createNotification} from './notification.js';
import {createLoadAnnouncements} from './load-announcements.js';
import {createEndpointProbe} from './endpoint-probe.js';
import {createPauseDetector} from './pause-detector.js';
import {createPeerConfirmations} from './peer-confirmations.js';
import {selectPeers} from './peer-selection.js';
import {readProcessUsage} from './process-usage.js';
import {awaitWholeTurn, createReadingTurns} from './reading-turns.js';
import {createRecentCancels} from './recent-cancels.js';
import {runBoundsOf} from './run-bounds.js';
import {createSelfDescription} from './self-description.js';
import {createRollCall} from './roll-call.js';
import {watchEndpoints, watchMembers, type TryStore} from './store-watches.js';
import {createOwnedCells} from './owned-cells.js';

/**
A running daemon.
*/
export type FleetDaemon = {
	/** Leaves the fleet: announces that it leaves, waits for the jobs that it holds, gives up its cells, and resolves with the number of held job parts that were aborted without an answer. */
	readonly leave: () => Promise<number>;
};

const tickMilliseconds = 100;
const announceLoadsMilliseconds = 10;
const maximumLinesPerEvent = 40;
/** The same for events of jobs that take their usual course. */
const maximumRoutineLines = 3;
/** Gap between two ticks from which the process counts as paused. */
const pauseThresholdMilliseconds = 500;
/** Time until the platform has detected that a leaving daemon is no longer ready. */
const announceMilliseconds = 2200;
/** Share of the drain limit in which a leaving daemon still accepts jobs, since callers keep using their open connections. */
const acceptingShare = 0.5;
/** Time for which cancels are sent again to an owner whose stream was broken, which may have stood still. */
const keepCancelsMilliseconds = 30_000;
const statePollMilliseconds = 20;
/** Share of the time within which a configuration is to be in force, for an answer of the store to arrive once it has begun. */
const transferShare = 0.5;
/** Time before the drain limit, at which the process is killed, by which a leaving daemon ends by itself. */
const drainReserveMilliseconds = 300;

/**
Starts a daemon: it serves callers, holds their jobs, and dispatches tasks to the endpoints of the cells that it claims.

@throws The error of an address under `listen` that cannot be bound.

@example
```
const daemon = await startFleetDaemon(settings, log);
await daemon.leave();
```
*/
export const startFleetDaemon = async (settings: FleetSettings, log: Log): Promise<FleetDaemon> => {
	const startedAt = Date.now();
	const self = settings.listen.peers;
	const logEvent = createRateLimitedLog(log, maximumLinesPerEvent);
	const logRoutine = createRateLimitedLog(log, maximumRoutineLines);
	const metrics = createFleetMetrics();
	const view = createFleetView();
	const heldJobs = createHeldJobs();
	const rollCall = createRollCall(() => view.all().filter(({zone}) => zone === settings.zone).map(({address}) => address));
	const discovery = createDiscovery({lastHeardAt: address => view.get(address)?.lastHeartbeatAt, hasReachablePeers: () => view.all().length > 0});
	const recentCancels = createRecentCancels(keepCancelsMilliseconds);
	const {successorWaitMilliseconds, unconfirmedRunMilliseconds} = runBoundsOf({
		holdMaximumMilliseconds: settings.leases.maximumMilliseconds, returnMilliseconds: settings.callers.returnMilliseconds,
	});
	const callerWaits = createCallerWaits({
		returnMilliseconds: settings.callers.returnMilliseconds,
		unconfirmedRunMilliseconds,
	});
	const turns = createReadingTurns(callerWaits.endOverdue);
	const confirmations = createPeerConfirmations({
		address: self,
		startedAt,
		lastSuspendedAt: createSuspensionDetector(),
		readUpTo: turns.readUpTo,
		beforeConfirming: callerWaits.endOverdue,
		sendRequest(address) {
			links.send(address, {kind: FleetMessageKind.ConfirmationRequest});
		},
		onConfirmed() {
			for (const cell of cells.all()) {
				cell.resume();
			}
		},
	});
	const leaving = new AbortController();
	let isServing = false;

	const store = createStoreClient(settings.platform.address, settings.configuration.applyMilliseconds * transferShare, key => {
		logEvent(FleetEvent.UnreadableEntry, {key});
	});

	const configuration = createConfigurationFollower({
		zone: settings.zone,
		applyMilliseconds: settings.configuration.applyMilliseconds,
		store,
		peers: view.all,
		recordVersions: view.receiveConfigurationVersion,
		isOwner: () => cells.count() > 0,
		send(address, message) {
			links.send(address, message);
		},
		sendAlone: async (address, message) => sendAlone(address, message, {timeoutMilliseconds: settings.configuration.applyMilliseconds, onFrame: daemonLoad.recordSent}),
		onInstall({version, queues, unreadableQueues}) {
			log.info({
				event: FleetEvent.ConfigurationInstalled, version, queues: queues.length, unreadableQueues,
			});
		},
		onLost(detail) {
			log.warn({event: FleetEvent.StoreLost, detail});
		},
		onRegained() {
			log.info({event: FleetEvent.StoreRegained});
		},
		onRequested(address, versions) {
			logEvent(FleetEvent.ConfigurationRequested, {address, ...versions});
		},
		random: Math.random,
	});

	const tryStore: TryStore = async (call, perform) => {
		try {
			return await perform();
		} catch (error) {
			logEvent(FleetEvent.StoreCallFailed, {call, detail: detailOf(error)});
			return undefined;
		}
	};

	const layout = createCellLayoutWatch({
		store,
		tryStore,
		leaving: leaving.signal,
		zone: settings.zone,
		zones: settings.zones,
		onInstall(counts) {
			log.info({event: FleetEvent.CellLayoutInstalled, counts});
		},
	});

	const loads = createCellLoads({cells: layout.cells, view, claimantOf: cell => owners.claimantOf(cell)});
	const claimed = createNotification();
	const probeEndpoints = createEndpointProbe(createEndpointClient);

	const cells = createOwnedCells({
		cells: layout.cells,
		cellOf: entry => cellOfEndpoint(layout.counts(), entry),
		async canReachEndpoints(cell) {
			const entries = await tryStore('listEndpoints', store.listEndpoints);
			return entries !== undefined && probeEndpoints(entries.filter(entry => cellOfEndpoint(layout.counts(), entry) === cell));
		},
		createCell: (name, token) => createCell({
			name,
			token,
			holdMaximumMilliseconds: settings.leases.maximumMilliseconds,
			unconfirmedRunMilliseconds,
			remotePenalty: settings.remotePenalty,
			createCalls: entry => daemonLoad.countCalls(createEndpointClient(entry)),
			notify(holder, update) {
				links.send(holder, update);
			},
			lastConfirmedBy: confirmations.confirmedBy,
			requestConfirmation: confirmations.request,
			otherCells: () => loads.otherCellCapacities(name),
			kindFactors: () => loads.kindFactors(name),
			onRedirected: loads.recordRedirect,
			onFenced() {
				claims.recordFenced(name);
			},
			onDecision(decision, fields) {
				metrics.countDecision(decision);
				const write = isRoutine(decision) ? logRoutine : logEvent;
				write(decision, {cell: name, ...fields});
			},
			onTaskWait: metrics.recordTaskWait,
		}),
		onClaimed(cell, token, reason) {
			log.info({event: FleetEvent.CellClaimed, ...describeClaim(cell, token, reason)});
			claimed.notify();
		},
		onYielded(token, cell) {
			log.info({event: FleetEvent.CellYielded, ...describeYield(token, cell)});
		},
	});
	const daemonLoad = createDaemonLoad({
		timerMilliseconds: tickMilliseconds,
		readUsage: readProcessUsage,
		takeLongestTurn: turns.takeLongest,
		held: heldJobs.count,
		cells: cells.all,
		onReport(report) {
			metrics.recordLoad(report);
			if (isWorthLogging(report)) {
				log.info({event: FleetEvent.DaemonLoad, ...report});
			}
		},
	});

	const urgencyOf = (address: string): Urgency => {
		if (rollCall.includes(address)) {
			return Urgency.RollCall;
		}

		return heldJobs.hasJobsAt(address) ? Urgency.Jobs : Urgency.None;
	};

	const description = createSelfDescription({
		settings,
		startedAt,
		cells,
		view,
		cellCounts: layout.counts,
		configurationVersion: configuration.installed,
		isLeaving: () => leaving.signal.aborted,
		urgencyOf,
	});

	const owners = createCellOwners({
		zone: settings.zone,
		cells: layout.cells,
		daemons: () => [description.claimant(), ...view.all()],
		revisions: () => [view.revision(), cells.revision(), leaving.signal.aborted],
		isConnected: address => links.isConnected(address),
	});

	const onMessage = createMessageReceiver({
		configuration, layout, view, loads, cells, receiveJobMessage: createJobMessageReceiver({cells, heldJobs}),
	});

	const links = await createFleetLinks({
		serve: serveFleet,
		openStream: createPeerStream,
		address: self,
		startedAt,
		view,
		createHeartbeat: description.createHeartbeat,
		createKeepAlive: description.createKeepAlive,
		descriptionRevision: description.revision,
		heartbeatIntervalTo: description.heartbeatIntervalTo,
		heardFrom: confirmations.heardFrom,
		onMessage,
		onFrameProcessed: confirmations.recordFrame,
		onPeerReachable(peer) {
			const {instance, address, startedAt: peerStartedAt} = peer;
			if (view.all().length === 1) {
				discovery.restart();
				startRollCall();
			}

			lists.synchronize(peer);
			logRoutine(FleetEvent.PeerReachable, {peer: instance, address, startedAt: peerStartedAt});
		},
		onRefused: discovery.recordRefused,
		onPeerLost(peer, cause) {
			const {instance, address, lastHeartbeatAt} = peer;
			const silentMilliseconds = Math.round(performance.now() - lastHeartbeatAt);
			log.warn({
				event: FleetEvent.PeerLost, peer: instance, address, cause, silentMilliseconds,
			});
			cells.recordLoss(peer, cause, silentMilliseconds);
			if (peer.claims.size > 0 && peer.zone === settings.zone) {
				startRollCall();
			}

			for (const cell of cells.all()) {
				cell.dropHolder(address);
			}

			// Several peers may be lost at once, and a claim must take all of these losses into account.
			setImmediate(() => {
				claims.review();
			});
		},
		onStreamOpened(address) {
			daemonLoad.recordStreamOpened();
			for (const cancel of recentCancels.of(address)) {
				links.send(address, cancel);
			}

			heldJobs.notifyReconnected(address);
			lists.synchronize(view.get(address));
		},
		onBroken(address, detail) {
			daemonLoad.recordStreamBroken();
			logEvent(FleetEvent.PeerStreamBroken, {address, detail});
		},
		onFrameSent: daemonLoad.recordSent,
		onFrameReceived: daemonLoad.recordReceived,
	});

	const lists = createEndpointListAnnouncements({
		ownedCells: () => cells.all().map(({name}) => name),
		endpointsOf: cells.endpointsOf,
		peers: view.all,
		send: links.send,
	});

	/** Daemons of the last list of the store. */
	let members: readonly MemberRow[] = [];

	const connectToPeers = (): void => {
		const selecting = {address: self, zone: settings.zone, isOwner: cells.count() > 0};
		links.connect(selectPeers(selecting, members.map(({address, zone}) => ({address, zone, isOwner: false}))));
	};

	const isZoneConnected = (): boolean => view.all().every(({zone, address}) => zone !== settings.zone || links.isConnected(address));

	/** Finds out which daemons of the zone are alive, since one of them has to claim a cell. */
	function startRollCall(): void {
		rollCall.start();
		links.reviewIntervals();
	}

	const claims = createClaimReview({
		cells,
		view,
		self: description.claimant,
		mayClaim: discovery.isOver,
		mayHandOver: isZoneConnected,
		onClaimsChanged() {
			connectToPeers();
			links.sendHeartbeats();
		},
		onReviewed() {
			heldJobs.checkOwners(owners.ownerOf);
		},
		onFenceReviewed(cell) {
			log.warn({event: FleetEvent.CellFenced, cell, peers: view.all().length});
		},
	});

	const announceLoads = createLoadAnnouncements({claims: cells.claims, peers: view.all, send: links.send});
	let loadTimer: NodeJS.Timeout | undefined;

	/** Announces loads only while this daemon owns a cell. */
	const reviewLoadTimer = (): void => {
		if (cells.count() > 0) {
			loadTimer ??= setInterval(announceLoads, announceLoadsMilliseconds);
		} else {
			clearInterval(loadTimer);
			loadTimer = undefined;
		}
	};

	/** Peers on which something depends now must be heard soon, although their heartbeats were infrequent before. */
	const expectUrgentPeers = (): void => {
		for (const address of heldJobs.assignedOwners()) {
			view.expectWithin(address, mediumInterval.silentAfterMilliseconds);
		}

		for (const address of rollCall.expected()) {
			view.expectWithin(address, shortInterval.silentAfterMilliseconds);
		}
	};

	const measureGap = createPauseDetector(pauseThresholdMilliseconds);

	const tick = (): void => {
		daemonLoad.recordTick();
		turns.begin();
		const {milliseconds, isPause, followsPause} = measureGap();
		if (isPause) {
			log.warn({event: FleetEvent.Paused, milliseconds: Math.round(milliseconds)});
			discovery.restart();
			startRollCall();
		}

		if (isPause && !followsPause) {
			// Heartbeats that arrived during the pause are processed before peers are checked for silence.
			view.excludePause(milliseconds);
			return;
		}

		expectUrgentPeers();
		links.removeSilentPeers();
		links.resetUnheardStreams();
		claims.reviewIfDue();
		claims.reviewFences();
		reviewLoadTimer();
		configuration.review();
	};

	const timer = setInterval(tick, tickMilliseconds);

	const intake = createJobIntake({
		zone: settings.zone,
		hold: holdJob,
		configuration,
		layout,
		endpointsOf: cells.endpointsOf,
		heldJobs,
		owners,
		send(address, message) {
			recentCancels.record(address, message);
			links.send(address, message);
		},
		callerWaits,
		readArrivals: awaitWholeTurn,
		successorWaitMilliseconds,
		lastHeardFrom: ({address}) => address === self ? performance.now() : view.get(address)?.lastHeartbeatAt,
		runsEndAt: ({address}) => confirmations.confirmedTo(address) + unconfirmedRunMilliseconds,
		onDecision(decision, fields) {
			const write = isRoutineOfHolder(decision, fields) ? logRoutine : logEvent;
			write(decision, fields);
		},
		onCallerLeft({milliseconds, ...left}) {
			logEvent(FleetEvent.CallerLeft, {...left, milliseconds: Math.round(milliseconds)});
		},
		onAnswered({job, queue, answer, milliseconds}) {
			const reason = refusalOf(answer);
			metrics.recordJob(queue, answer.end, milliseconds);
			const write = answer.end === JobEnd.Complete ? logRoutine : logEvent;
			write(FleetEvent.JobAnswered, {
				job, queue, end: answer.end ?? 'unknown', ...(reason !== undefined && {reason}), milliseconds: Math.round(milliseconds),
			});
		},
	});

	const callerServer = createCallerServer<Queue>({
		findQueue: intake.findQueue,
		submit: intake.submit,
		cancel: intake.cancel,
		onConnection: turns.accept,
		maximumBodyBytes: () => configuration.current()?.limits.bodyBytes ?? 0,
		isLeaving: () => leaving.signal.aborted,
		onFailure(detail) {
			logEvent(FleetEvent.RequestFailed, {detail});
		},
	});
	const areHomeCellsOwned = (): boolean => {
		const names = layout.cellsOf(settings.zone);
		return names.length > 0 && names.every(cell => owners.ownerOf(cell) !== undefined && cells.endpointsOf(cell) !== undefined);
	};

	const isReady = (): boolean => isServing && !leaving.signal.aborted && configuration.current() !== undefined && areHomeCellsOwned();
	const readinessServer = createReadinessServer(isReady);
	const metricsServer = createServer((_, response) => {
		response.setHeader('content-type', 'text/plain; version=0.0.4');
		response.end(encodeMetrics([...metrics.families(), metrics.gauge('galenakeel_held_jobs', 'Jobs that wait for their end.', heldJobs.count())]));
	});
	await Promise.all([
		listen(callerServer, ...splitAddress(settings.listen.callers)),
		listen(readinessServer, ...splitAddress(settings.listen.readiness)),
		listen(metricsServer, ...splitAddress(settings.listen.metrics)),
	]);
	isServing = true;
	links.connect(settings.seeds.map(address => `${address}:${splitAddress(self)[1]}`));
	void configuration.run();
	void layout.run();
	void watchMembers({
		store,
		tryStore,
		leaving: leaving.signal,
		self: {instance: settings.instance, address: self, zone: settings.zone},
		onMembers(rows) {
			members = rows;
			discovery.expect(rows.filter(({zone, address}) => zone === settings.zone && address !== self).map(({address}) => address));
			connectToPeers();
		},
	});
	void watchEndpoints({
		store, tryStore, leaving: leaving.signal, ownedCells: cells.count, awaitClaim: claimed.wait, install(entries) {
			cells.install(entries);
			lists.announce();
		},
	});
	log.info({event: FleetEvent.Serving, callers: settings.listen.callers, peers: self});

	return {
		async leave() {
			const limitAt = performance.now() + settings.drain.limitMilliseconds - drainReserveMilliseconds;
			leaving.abort();
			intake.closeAt(performance.now() + (acceptingShare * settings.drain.limitMilliseconds));
			log.info({event: FleetEvent.Leaving, held: heldJobs.count()});
			links.sendHeartbeats();
			void tryStore('removeMember', async () => store.removeMember(settings.instance));
			await sleep(announceMilliseconds);
			while (heldJobs.count() > 0 && performance.now() < limitAt) {
				await sleep(statePollMilliseconds);
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
