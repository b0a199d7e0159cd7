import {setTimeout as sleep} from 'node:timers/promises';
import {createPlatformClient} from '@galenakeel/model/connection/platform-client.js';
import {serveCallerConnection, type CallerRun} from '../connection/caller-connection.js';
import {createCountedPeerClient} from '../connection/counted-peer-service.js';
import {encodeProblemResponse} from '../connection/caller-answer.js';
import {runEndpointConnection} from '../connection/endpoint-connection.js';
import {createPeerCalls, runPeerConnection} from '../connection/peer-connection.js';
import {startPeerServer} from '../connection/peer-service.js';
import {inspectHeld, inspectSubmission} from '../request/inspect-submission.js';
import {relayRequest} from '../request/relay-request.js';
import {submit, type SubmissionContext} from '../request/run-submission.js';
import {identifierOfKey, mintIdentifier} from '../request/submission-identifier.js';
import type {TaskContext} from '../request/run-task.js';
import {createDocumentCatalogue} from '../version/document-catalogue.js';
import {countOwnedSlots} from '../version/slot-ownership.js';
import type {ServiceVersion} from '../version/service-version.js';
import {createHolderCalls} from '../request/holder-calls.js';
import {startCallerServer} from './caller-server.js';
import {isBucketOwner, runClaimSweep} from './claim-sweeper.js';
import {createCatalogueWatch} from './catalogue-watch.js';
import {createClaimWriter} from './claim-writer.js';
import {recordLenderContact} from './record-lender-contact.js';
import {createControlMessages} from './control-messages.js';
import {countPlatformCalls} from './count-platform-calls.js';
import type {DaemonSettings} from './daemon-settings.js';
import {describeDaemon} from './daemon-status.js';
import {drain} from './drain.js';
import {intervalToOthers} from './heartbeat-interval.js';
import {createLendingCalls, lendSlots} from './lending-calls.js';
import {createIncarnation} from './incarnation.js';
import {LogEvent} from './log-event.js';
import {createEndpointConnections} from './endpoint-connections.js';
import {runInstanceWatch} from './instance-watch.js';
import type {Log} from './log.js';
import {
	createMembership, InstanceState, type PeerHeartbeat,
} from './membership.js';
import {createObservation} from './observation.js';
import {startOperatorServer} from './operator-server.js';
import {createPeerDirectory} from './peer-directory.js';
import {createPeerHeartbeats} from './peer-heartbeats.js';
import {createPeerWatch} from './peer-watch.js';
import {createServiceDispatchers} from './service-dispatchers.js';
import {createSharedTurns} from './shared-turns.js';
import {createSubmissionRegister} from './submission-register.js';

const dispatcherSweepMilliseconds = 20;
const peerSweepMilliseconds = 50;
const connectMilliseconds = 200;
/** Each daemon reads the list of instances at least this often, regardless of the number of instances. */
const maximumListRoundMilliseconds = 10_000;
/** Each daemon reads the catalogue's version at least this often. */
const maximumCatalogueRoundMilliseconds = 2000;
const slowSweepMilliseconds = 500;
const finalHeartbeatMilliseconds = 50;

/**
A running daemon.
*/
export type Daemon = {
	/** Leaves the fleet: finishes every request and job, then stops. Resolves with the number of requests and jobs that were interrupted at the drain limit. */
	readonly leave: () => Promise<number>;
};

/**
Starts a daemon, which reads the documents, connects to its peers and accepts requests.

@throws An error of the operating system when an address of the settings can't be bound.

@example
```
const daemon = await startDaemon(parseDaemonSettings(text, path), createLog('info', {}));
process.once('SIGTERM', () => void daemon.leave());
```
*/
export const startDaemon = async (settings: DaemonSettings, log: Log): Promise<Daemon> => {
	const self = createIncarnation(settings);
	const observation = createObservation({
		self,
		settings,
		log,
		isKnown: service => catalogue.versionOf(service) !== undefined,
		sources: () => ({
			dispatchers,
			claimTransactions: claims.transactions,
			catalogueVersion: catalogue.catalogueVersion,
			callerConnections: callers.connections,
			endpointConnections: connections.open,
			unanswered: register.unanswered,
			reachablePeers: () => membership.peers().filter(peer => peer.isReachable).length,
		}),
	});
	const {metrics} = observation;
	const controlMessages = createControlMessages();
	const countPeerMessage = (call: string, bytes: number): void => {
		metrics.countPeerMessage(call, bytes);
		controlMessages.count(call);
	};

	const platform = countPlatformCalls(createPlatformClient(settings.platform.address, settings.platform.timeoutMilliseconds), metrics.countPlatformCall);
	const register = createSubmissionRegister(settings.answers);
	const connections = createEndpointConnections(async (address, nextExchange) => runEndpointConnection(address, nextExchange, {
		...settings.endpoints, bufferedBodyBytes: settings.limits.bufferedBodyBytes,
	}), {...settings.endpoints, instances: () => membership.owners().length});

	const membership = createMembership(self, {
		missedHeartbeats: settings.peers.missedHeartbeats,
		onOwnersChange() {
			dispatchers.redistributeSlots();
		},
		onEndpointsLeaving() {
			dispatchers.redistributeSlots();
			heartbeats.sendToAll();
		},
	});
	const contact = (instance: string): void => {
		membership.recordContact(instance);
		heartbeats.postpone(instance);
	};

	const lendingCalls = createLendingCalls({instance: self.instance, callsOf: instance => directory.callsOf(instance), callTimeoutMilliseconds: settings.peers.callTimeoutMilliseconds});
	const lending = recordLenderContact(lendingCalls, contact);

	const dispatchers = createServiceDispatchers({
		countOwnedSlots,
		instance: self.instance, policy: settings.placement.policy, owners: membership.owners, isLeavingEndpoint: membership.isLeavingEndpoint, peers: membership.peers, ...lending,
	});
	const catalogue = createDocumentCatalogue(dispatchers.install);

	const describeSelf = (): Omit<PeerHeartbeat, 'intervalMilliseconds'> => ({
		...self,
		state: membership.state(),
		weight: membership.weight(),
		catalogueVersion: catalogue.catalogueVersion(),
		hints: [...dispatchers.all()].map(([service, {dispatcher}]) => ({service, free: dispatcher.surplusWithinQuota(), waiting: dispatcher.waiting()})),
		leavingEndpoints: membership.leavingEndpoints(),
	});
	const heartbeats = createPeerHeartbeats({
		describe: describeSelf,
		intervalTo: peer => peerWatch.isFullRate(peer) ? settings.peers.heartbeatMilliseconds : intervalToOthers(settings.peers, membership.listedPeers().length + 1),
	});
	const peerWatch = createPeerWatch({self: self.instance, membership, heartbeats});
	const onHeartbeat = (heartbeat: PeerHeartbeat): void => {
		membership.receiveHeartbeat(heartbeat);
		if (heartbeat.probe) {
			peerWatch.answerProbe(heartbeat.instance, heartbeat.probe);
		}

		if (heartbeat.catalogueVersion > catalogue.catalogueVersion()) {
			watch.wake();
		}
	};

	const countedClient = createCountedPeerClient(countPeerMessage);
	const directory = createPeerDirectory({
		self, membership, openHeartbeats: heartbeats.open, onHeartbeat, suspect: peerWatch.suspect,
	}, {createCalls: address => createPeerCalls(address, countedClient), runConnection: runPeerConnection});
	const sharedReads = {self: self.instance, membership, slotMilliseconds: settings.platform.pollMilliseconds};
	const watch = createCatalogueWatch({
		platform,
		catalogue,
		membership,
		directory,
		log,
		turns: createSharedTurns({...sharedReads, maximumRoundMilliseconds: maximumCatalogueRoundMilliseconds}),
		retryMilliseconds: settings.platform.pollMilliseconds,
		peerCallMilliseconds: settings.peers.callTimeoutMilliseconds,
		onNewCatalogue: heartbeats.sendToAll,
	});
	const claims = createClaimWriter({
		platform, holder: self, transactionsPerSecond: () => settings.claims.writesPerSecond / Math.max(1, membership.listedPeers().length + 1), onNonce: register.issue,
	});
	void claims.run();

	const holders = createHolderCalls(directory.callsOf, settings.peers.callTimeoutMilliseconds);

	const taskContext = (version: ServiceVersion): Pick<TaskContext, 'withSlot' | 'send' | 'report' | 'mayRetry'> => {
		const {service} = version.document;
		return {
			withSlot: dispatchers.serviceOf(service)!.dispatcher.withSlot,
			send: connections.send,
			report(attempt) {
				dispatchers.report(service, attempt);
			},
			mayRetry: () => dispatchers.serviceOf(service)!.retries.spend(),
		};
	};

	const observed = {observe: observation.observe, openTrace: observation.tracing.openTrace, noteRepeat: observation.records.noteRepeat};
	const submissionContext: SubmissionContext = {
		self,
		register,
		claim: claims.claim,
		claimRetentionMilliseconds: settings.claims.retentionMilliseconds,
		maximumAnswerBytes: settings.answers.maximumBytes,
		forward: holders.forward,
		findVersion: catalogue.versionOf,
		admit: dispatchers.admit,
		taskContext,
		...observed,
	};

	const callerRun: CallerRun = {
		limits: settings.limits,
		relay: async request => relayRequest(request, {findVersion: catalogue.versionOf, admit: dispatchers.admit, taskContext}),
		identifierOfKey,
		mint() {
			const identifier = mintIdentifier(self);
			register.issue(identifier);
			return identifier;
		},
		submit: async submission => submit(submission, submissionContext),
		inspect: async (identifier, shouldCancel) => inspectSubmission(identifier, shouldCancel, {
			self, register, findHolder: claims.findHolder, inspectRemote: holders.inspect,
		}),
		defaultDeadlineMilliseconds: service => catalogue.versionOf(service)?.document.deadlineMilliseconds ?? settings.peers.callTimeoutMilliseconds,
		isLeaving: () => membership.state() === InstanceState.Leaving,
		createRequestIdentifier: observation.createRequestIdentifier,
		observe: observation.observe,
		openTrace: observation.tracing.openTrace,
	};

	const stopPeers = await startPeerServer(settings.listen.peers, {
		onHeartbeat,
		openHeartbeats: heartbeats.open,
		onStreamEnded: peerWatch.suspect,
		submit: async submission => submit(submission, submissionContext),
		inspect: async (identifier, shouldCancel) => inspectHeld(identifier, shouldCancel, register),
		lendSlots(request) {
			contact(request.borrower);
			return lendSlots(dispatchers, request);
		},
		reclaimSlots({borrower, service, leases}) {
			contact(borrower);
			dispatchers.serviceOf(service)?.lent.reclaim(borrower, leases);
		},
		documentsAbove: version => ({
			catalogueVersion: catalogue.catalogueVersion(),
			documents: catalogue.all().filter(document => document.version > version).map(({version, text, document}) => ({service: document.service, version, text})),
		}),
	}, countPeerMessage);
	const callers = await startCallerServer(settings.listen.callers, {
		serve: async exchanges => serveCallerConnection(exchanges, callerRun), encodeRefusal: encodeProblemResponse,
	}, settings.limits);
	const stopOperators = await startOperatorServer(settings.listen.operators, {
		isReady: () => membership.state() === InstanceState.Serving,
		status: () => describeDaemon({
			self, membership, catalogue, dispatchers, register, messages: controlMessages.counts(),
		}),
		metrics: observation.readMetrics,
		findRecord: observation.records.find,
		setLogLevel(level) {
			log.level = level;
			log.warn({event: LogEvent.LogLevelChanged, level}, 'an operator changed the log level');
		},
	});

	const serve = async (): Promise<void> => {
		await watch.untilCaughtUp();
		membership.advanceTo(InstanceState.Serving);
		heartbeats.sendToAll();
		log.info({event: LogEvent.Serving, catalogueVersion: catalogue.catalogueVersion()}, 'the daemon is ready and accepts requests');
	};

	void runInstanceWatch({
		platform, membership, log, turns: createSharedTurns({...sharedReads, maximumRoundMilliseconds: maximumListRoundMilliseconds}), onList: directory.connect,
	});
	const stopClaimSweep = new AbortController();
	void runClaimSweep({
		platform, ...settings.claims, pauseMilliseconds: settings.claims.sweepMilliseconds, isOwnBucket: bucket => isBucketOwner(bucket, self.instance, membership.listedPeers().map(({name}) => name)),
	}, stopClaimSweep.signal);
	void watch.runPlatformReads();
	void watch.runPeerFetches();
	void serve();
	const sweepTimers = [
		setInterval(dispatchers.sweep, dispatcherSweepMilliseconds),
		setInterval(peerWatch.sweep, peerSweepMilliseconds),
		setInterval(directory.connect, connectMilliseconds),
		setInterval(() => {
			membership.sweep();
			connections.sweep();
			register.sweep();
		}, slowSweepMilliseconds),
	];

	return {
		async leave() {
			log.info({event: LogEvent.Leaving}, 'the daemon is leaving: it finishes its requests and jobs and stops accepting connections from the load balancer');
			membership.advanceTo(InstanceState.Leaving);
			heartbeats.sendToAll();
			const cut = await drain({
				...settings.drain, ...callers, running: () => callers.busy() + register.unanswered(), log,
			});
			membership.yieldSlots();
			heartbeats.sendToAll();
			await sleep(finalHeartbeatMilliseconds);
			directory.close();
			connections.close();
			stopClaimSweep.abort();
			await stopPeers();
			stopOperators();
			for (const sweep of sweepTimers) {
				clearInterval(sweep);
			}

			await observation.stop();

			log.info({event: LogEvent.Stopped, cut}, 'the daemon has stopped');
			return cut;
		},
	};
};
