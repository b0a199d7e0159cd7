/**
A daemon of its real parts: holder, owner, view and streams. Only the sockets, the store and the callers are simulated.
*/
import {performance} from 'node:perf_hooks';
import type {EndpointCalls} from '@galenakeel/model/connection/endpoint-calls.js';
import {FleetMessageKind, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import type {WaitingCaller} from '@galenakeel/model/connection/waiting-caller.js';
import type {Job} from '@galenakeel/model/request/job.js';
import type {EndpointEntry} from '@galenakeel/model/version/endpoint-entry.js';
import type {Queue} from '@galenakeel/model/version/queue-configuration.js';
import {createCell} from '../../process/cells/cell.js';
import {createCallerWaits} from '../../process/fleet/caller-waits.js';
import {createCellLoads} from '../../process/fleet/cell-loads.js';
import {createCellOwners} from '../../process/fleet/cell-owners.js';
import {createClaimReview} from '../../process/fleet/claim-review.js';
import {createDiscovery} from '../../process/fleet/discovery.js';
import {createFleetLinks} from '../../process/fleet/fleet-links.js';
import {createFleetView} from '../../process/fleet/fleet-view.js';
import {mediumInterval, shortInterval, Urgency} from '../../process/fleet/heartbeat-interval.js';
import {createHeldJobs} from '../../process/fleet/held-jobs.js';
import {createJobIntake} from '../../process/fleet/job-intake.js';
import {createJobMessageReceiver} from '../../process/fleet/job-message-receiver.js';
import {createLoadAnnouncements} from '../../process/fleet/load-announcements.js';
import {createOwnedCells} from '../../process/fleet/owned-cells.js';
import {createPeerConfirmations} from '../../process/fleet/peer-confirmations.js';
import {createPauseDetector} from '../../process/fleet/pause-detector.js';
import {awaitWholeTurn, createReadingTurns} from '../../process/fleet/reading-turns.js';
import {createRecentCancels} from '../../process/fleet/recent-cancels.js';
import {createRollCall} from '../../process/fleet/roll-call.js';
import {runBoundsOf} from '../../process/fleet/run-bounds.js';
import {createSelfDescription} from '../../process/fleet/self-description.js';
import {holdJob} from '../hold-job.js';
import type {JobAnswer} from '../job-answer.js';
import type {ConversationHistory} from './conversation-history.js';
import type {SimulatedProcess} from './simulated-processes.js';
import type {SimulatedStreams} from './simulated-streams.js';

/**
A simulated daemon. Its functions have to be called inside its process.
*/
export type SimulatedDaemon = {
	readonly process: SimulatedProcess;
	readonly zone: string;
	/** Accepts the connection of a caller. Returns what tells, when a request is read there, the monotonic milliseconds before which it can't have been sent. */
	readonly accept: () => () => number;
	/** Holds a job for a caller. */
	readonly submit: (job: Job, queue: Queue, caller: WaitingCaller) => Promise<JobAnswer>;
	/** Opens streams to other daemons. */
	readonly connect: (addresses: readonly string[]) => void;
	/** Gives up its cells, so that another daemon claims them. */
	readonly yieldCells: () => void;
	/** Reads a list of the endpoints from the store. */
	readonly list: (entries: readonly EndpointEntry[]) => void;
	/** Announces that it leaves, so that other daemons claim its cells. */
	readonly leave: () => void;
	readonly ownedCells: () => readonly string[];
	readonly close: () => void;
};

export type SimulatedDaemonOptions = {
	readonly process: SimulatedProcess;
	readonly zone: string;
	readonly zones: readonly string[];
	/** Addresses of the other daemons of its zone. */
	readonly neighbours: readonly string[];
	readonly streams: SimulatedStreams;
	readonly history: ConversationHistory;
	readonly endpoints: readonly EndpointEntry[];
	readonly createCalls: (entry: EndpointEntry) => EndpointCalls;
};

/** As in `startFleetDaemon`. */
const tickMilliseconds = 100;
const pauseThresholdMilliseconds = 500;
const keepCancelsMilliseconds = 30_000;
const maximumLeaseMilliseconds = 1000;
const returnMilliseconds = 1300;
/** Less often than in `startFleetDaemon`, to save time. */
const announceLoadsMilliseconds = 40;
const processorOfMachine = 1;

/**
Starts a daemon inside its process.

@example
```
const daemon = await createSimulatedDaemon(options);
daemon.connect(['south-1']);
```
*/
export const createSimulatedDaemon = async (options: SimulatedDaemonOptions): Promise<SimulatedDaemon> => {
	const {process, zone, zones, streams, history} = options;
	const self = process.name;
	const view = createFleetView();
	const heldJobs = createHeldJobs();
	const recentCancels = createRecentCancels(keepCancelsMilliseconds);
	const startedAt = Date.now();
	const {successorWaitMilliseconds, unconfirmedRunMilliseconds} = runBoundsOf({holdMaximumMilliseconds: maximumLeaseMilliseconds, returnMilliseconds});
	const callerWaits = createCallerWaits({returnMilliseconds, unconfirmedRunMilliseconds});
	const turns = createReadingTurns(callerWaits.endOverdue);
	const confirmations = createPeerConfirmations({
		address: self,
		startedAt,
		// The time of day keeps to the steady clock here.
		lastSuspendedAt: () => Number.NEGATIVE_INFINITY,
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
	const rollCall = createRollCall(() => view.all().filter(peer => peer.zone === zone).map(({address}) => address));
	const discovery = createDiscovery({lastHeardAt: address => view.get(address)?.lastHeartbeatAt, hasReachablePeers: () => view.all().length > 0});
	discovery.expect(options.neighbours);
	let isLeaving = false;

	const recordDecision = (decision: string, fields: Readonly<Record<string, unknown>>): void => {
		history.record(fields.job as string | undefined, `${self} ${decision} ${JSON.stringify({...fields, job: undefined})}`);
	};

	const loads = createCellLoads({cells: () => zones, view, claimantOf: cell => owners.claimantOf(cell)});
	const cells = createOwnedCells({
		cells: () => zones,
		cellOf: entry => entry.zone,
		canReachEndpoints: async () => true,
		createCell: (name, token) => createCell({
			name,
			token,
			holdMaximumMilliseconds: maximumLeaseMilliseconds,
			unconfirmedRunMilliseconds,
			remotePenalty: 1,
			createCalls: options.createCalls,
			notify(holder, update) {
				links.send(holder, update);
			},
			lastConfirmedBy: confirmations.confirmedBy,
			requestConfirmation: confirmations.request,
			otherCells: () => loads.otherCellCapacities(name),
			kindFactors: () => ({}),
			onRedirected: loads.recordRedirect,
			onFenced() {
				claims.recordFenced(name);
			},
			onDecision: recordDecision,
			onTaskWait() {
				// Waits are not checked here.
			},
		}),
		onClaimed(cell, token, {cause}) {
			recordDecision('claims', {cell, token, cause});
		},
		onYielded(token, {name}) {
			recordDecision('yields', {cell: name, token});
		},
	});

	const urgencyOf = (address: string): Urgency => {
		if (rollCall.includes(address)) {
			return Urgency.RollCall;
		}

		return heldJobs.hasJobsAt(address) ? Urgency.Jobs : Urgency.None;
	};

	const description = createSelfDescription({
		settings: {
			instance: self, zone, listen: {
				peers: self, callers: '', readiness: '', metrics: '',
			}, machine: {cores: processorOfMachine, share: 1},
		},
		startedAt,
		cells,
		view,
		cellCounts: () => ({}),
		configurationVersion: () => 1,
		isLeaving: () => isLeaving,
		urgencyOf,
	});

	const owners = createCellOwners({
		zone,
		cells: () => zones,
		daemons: () => [description.claimant(), ...view.all()],
		revisions: () => [view.revision(), cells.revision(), isLeaving],
		isConnected: address => links.isConnected(address),
	});

	const receiveJobMessage = createJobMessageReceiver({cells, heldJobs});

	const onMessage = (message: FleetMessage, from: string): void => {
		switch (message.kind) {
			case FleetMessageKind.Load: {
				view.receiveLoad(from, message.cell, message.load);
				break;
			}

			case FleetMessageKind.Submit:
			case FleetMessageKind.Cancel:
			case FleetMessageKind.Started:
			case FleetMessageKind.TaskSucceeded:
			case FleetMessageKind.Redirect:
			case FleetMessageKind.Refuse:
			case FleetMessageKind.End:
			case FleetMessageKind.Dropped:
			case FleetMessageKind.Superseded: {
				receiveJobMessage(message, from);
				break;
			}

			case FleetMessageKind.Heartbeat:
			case FleetMessageKind.KeepAlive:
			case FleetMessageKind.ConfirmationRequest:
			case FleetMessageKind.ConfigurationVersion:
			case FleetMessageKind.ConfigurationRequest:
			case FleetMessageKind.Configuration:
			case FleetMessageKind.Endpoints: {
				break;
			}
		}
	};

	const startRollCall = (): void => {
		rollCall.start();
		links.reviewIntervals();
	};

	const links = await createFleetLinks({
		...streams.of(process),
		address: self,
		startedAt,
		view,
		heardFrom: confirmations.heardFrom,
		onFrameProcessed: confirmations.recordFrame,
		createHeartbeat: description.createHeartbeat,
		createKeepAlive: description.createKeepAlive,
		descriptionRevision: description.revision,
		heartbeatIntervalTo: description.heartbeatIntervalTo,
		onMessage,
		onPeerReachable() {
			if (view.all().length === 1) {
				discovery.restart();
				startRollCall();
			}
		},
		onRefused: discovery.recordRefused,
		onPeerLost(peer, cause) {
			const silentMilliseconds = Math.round(performance.now() - peer.lastHeartbeatAt);
			recordDecision('has lost', {peer: peer.address, silentMilliseconds});
			cells.recordLoss(peer, cause, silentMilliseconds);
			if (peer.claims.size > 0 && peer.zone === zone) {
				startRollCall();
			}

			for (const cell of cells.all()) {
				cell.dropHolder(peer.address);
			}

			setImmediate(() => {
				claims.review();
			});
		},
		onStreamOpened(address) {
			for (const cancel of recentCancels.of(address)) {
				links.send(address, cancel);
			}

			heldJobs.notifyReconnected(address);
		},
		onBroken() {
			// The history tells of it already.
		},
		onFrameSent() {
			// The same.
		},
		onFrameReceived() {
			// The same.
		},
	});

	const claims = createClaimReview({
		cells,
		view,
		self: description.claimant,
		mayClaim: discovery.isOver,
		mayHandOver: () => false,
		onClaimsChanged() {
			links.sendHeartbeats();
		},
		onReviewed() {
			heldJobs.checkOwners(owners.ownerOf);
		},
		onFenceReviewed(cell) {
			recordDecision('is fenced', {cell});
		},
	});

	const announceLoads = createLoadAnnouncements({claims: cells.claims, peers: view.all, send: links.send});
	const loadTimer = setInterval(announceLoads, announceLoadsMilliseconds);
	const measureGap = createPauseDetector(pauseThresholdMilliseconds);

	const tick = (): void => {
		turns.begin();
		const {milliseconds, isPause, followsPause} = measureGap();
		if (isPause) {
			discovery.restart();
			startRollCall();
		}

		if (isPause && !followsPause) {
			view.excludePause(milliseconds);
			return;
		}

		for (const address of heldJobs.assignedOwners()) {
			view.expectWithin(address, mediumInterval.silentAfterMilliseconds);
		}

		for (const address of rollCall.expected()) {
			view.expectWithin(address, shortInterval.silentAfterMilliseconds);
		}

		links.removeSilentPeers();
		links.resetUnheardStreams();
		claims.reviewIfDue();
		claims.reviewFences();
	};

	const timer = setInterval(tick, tickMilliseconds);
	cells.install(options.endpoints);

	const intake = createJobIntake({
		zone,
		hold: holdJob,
		configuration: {current: () => undefined, ageMilliseconds: () => 0, isNewest: () => true},
		layout: {cellsOf: name => [name]},
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
		onDecision: recordDecision,
		onCallerLeft({job, cause}) {
			recordDecision('reads that the caller has left', {job, cause});
		},
		onAnswered({job, answer: {end}}) {
			recordDecision('answers', {job, end: end ?? 'unknown'});
		},
	});

	return {
		process,
		zone,
		accept: turns.accept,
		submit: intake.submit,
		connect: links.connect,
		yieldCells() {
			for (const {name} of cells.all()) {
				cells.reclaimOrYield(name, false);
			}

			links.sendHeartbeats();
		},
		list: cells.install,
		leave() {
			isLeaving = true;
			links.sendHeartbeats();
		},
		ownedCells: () => cells.all().map(({name}) => name),
		close() {
			clearInterval(timer);
			clearInterval(loadTimer);
			links.close();
			cells.close();
		},
	};
};
