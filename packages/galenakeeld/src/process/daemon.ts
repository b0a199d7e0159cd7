import {createPlatformClient} from '@galenakeel/model/connection/platform-client.js';
import type {CallerRun} from '../connection/caller-connection.js';
import {createEndpointConnections} from '../connection/endpoint-connection.js';
import {startPeerServer} from '../connection/peer-service.js';
import {inspectHeld, inspectSubmission} from '../request/inspect-submission.js';
import {submit, type SubmissionRun} from '../request/run-submission.js';
import {mintIdentifier} from '../request/submission-identifier.js';
import type {TaskRun} from '../request/run-task.js';
import {createDocumentCatalogue} from '../version/document-catalogue.js';
import type {ServiceVersion} from '../version/service-version.js';
import {startCallerServer} from './caller-server.js';
import {createClaimWriter} from './claim-writer.js';
import type {DaemonSettings} from './daemon-settings.js';
import {describeDaemon} from './daemon-status.js';
import {drain} from './drain.js';
import {createHeartbeatSource} from './heartbeat-source.js';
import {createHolderCalls} from './holder-calls.js';
import {createIncarnation} from './incarnation.js';
import type {Log} from './log.js';
import {
	createMembership, InstanceState, type Peer, type PeerHeartbeat,
} from './membership.js';
import {startOperatorServer} from './operator-server.js';
import {createPeerDirectory} from './peer-directory.js';
import {runPlatformWatch} from './platform-watch.js';
import {createServiceDispatchers} from './service-dispatchers.js';
import type {SlotLease} from './slot-leases.js';
import {createSubmissionRegister} from './submission-register.js';

const sweepMilliseconds = 20;
const slowSweepMilliseconds = 500;

/**
A running daemon.
*/
export type Daemon = {
	/** Leaves the fleet: finishes every request and job, then stops. Resolves with the number of requests that the limit cut. */
	readonly leave: () => Promise<number>;
};

/**
Starts a daemon: reads the documents, joins its peers, and takes requests.

@throws An error of the operating system when an address of the settings can't be bound.

@example
```
const daemon = await startDaemon(parseDaemonSettings(text, path), createLog('info', {}));
process.once('SIGTERM', () => void daemon.leave());
```
*/
export const startDaemon = async (settings: DaemonSettings, log: Log): Promise<Daemon> => {
	const self = createIncarnation(settings);
	const platform = createPlatformClient(settings.platform.address, settings.platform.timeoutMilliseconds);
	const register = createSubmissionRegister(settings.answers);
	const connections = createEndpointConnections({...settings.endpoints, bufferedBodyBytes: settings.limits.bufferedBodyBytes});

	const membership = createMembership(self, {
		missedHeartbeats: settings.peers.missedHeartbeats,
		onOwnersChange() {
			dispatchers.shareSlots();
		},
		onEndpointsLeaving() {
			dispatchers.shareSlots();
			heartbeats.announce();
		},
	});
	const borrowSlots = async (lender: Peer, service: string, count: number): Promise<readonly SlotLease[]> => {
		try {
			const reply = await directory.callsOf(lender.instance)?.borrowSlots({borrower: self.instance, service, count}, settings.peers.callTimeoutMilliseconds);
			return reply?.leases ?? [];
		} catch {
			return [];
		}
	};

	const dispatchers = createServiceDispatchers({
		instance: self.instance, policy: settings.placement.policy, owners: membership.owners, isLeavingEndpoint: membership.isLeavingEndpoint, peers: membership.peers, borrowSlots,
	});
	const catalogue = createDocumentCatalogue(dispatchers.install);

	const describeSelf = (): PeerHeartbeat => ({
		...self,
		state: membership.state,
		catalogueVersion: catalogue.catalogueVersion(),
		intervalMilliseconds: settings.peers.heartbeatMilliseconds,
		hints: [...dispatchers.all()].map(([service, {dispatcher}]) => ({service, free: dispatcher.ledger.free(), waiting: dispatcher.waiting()})),
		leavingEndpoints: membership.leavingEndpoints(),
	});
	const messages = {heartbeats: 0, slotCalls: 0};
	const heartbeats = createHeartbeatSource(describeSelf, settings.peers.heartbeatMilliseconds, () => {
		messages.heartbeats++;
	});
	const directory = createPeerDirectory(self, membership, heartbeats, () => {
		messages.slotCalls++;
	});
	const claims = createClaimWriter({
		platform, holder: self, transactionsPerSecond: () => settings.claims.writesPerSecond / Math.max(1, membership.listedPeers().length + 1),
	});
	void claims.run();

	const holders = createHolderCalls(directory.callsOf, settings.peers.callTimeoutMilliseconds);

	const taskRun = (version: ServiceVersion): Pick<TaskRun, 'withSlot' | 'send' | 'report' | 'mayRetry'> => {
		const {service} = version.document;
		return {
			withSlot: dispatchers.serviceOf(service)!.dispatcher.withSlot,
			send: connections.send,
			report(attempt) {
				dispatchers.report(service, attempt);
			},
			mayRetry: () => true,
		};
	};

	const submissionRun: SubmissionRun = {
		self, register, claim: claims.claim, forward: holders.forward, findVersion: catalogue.versionOf, admit: dispatchers.admit, taskRun,
	};

	const callerRun: CallerRun = {
		limits: settings.limits,
		findVersion: catalogue.versionOf,
		admit: dispatchers.admit,
		taskRun,
		mint() {
			const identifier = mintIdentifier(self);
			register.issue(identifier);
			return identifier;
		},
		submit: async submission => submit(submission, submissionRun),
		inspect: async (identifier, isCancelled) => inspectSubmission(identifier, isCancelled, {
			self, register, findHolder: claims.findHolder, inspectRemote: holders.inspect,
		}),
		defaultDeadlineMilliseconds: service => catalogue.versionOf(service)?.document.deadlineMilliseconds ?? settings.peers.callTimeoutMilliseconds,
		isLeaving: () => membership.state === InstanceState.Leaving,
		onAnswered() {
			// Counted by the metrics.
		},
	};

	const stopPeers = await startPeerServer(settings.listen.peers, {
		hear: membership.hear,
		heartbeats,
		submit: async submission => submit(submission, submissionRun),
		inspect: async (identifier, isCancelled) => inspectHeld(identifier, isCancelled, register),
		lendSlots({service, count}) {
			const dispatched = dispatchers.serviceOf(service);
			return {
				leases: [...dispatched?.leases.lend(count) ?? []],
				leaseMilliseconds: dispatched?.leases.leaseMilliseconds ?? 0,
				stillFree: dispatched?.dispatcher.ledger.free() ?? 0,
			};
		},
		takeBackSlots() {
			// Nothing is lent.
		},
		documentsAbove: version => ({
			catalogueVersion: catalogue.catalogueVersion(),
			documents: catalogue.all().filter(document => document.version > version).map(({version, text, document}) => ({service: document.service, version, text})),
		}),
	});
	const callers = await startCallerServer(settings.listen.callers, callerRun, settings.limits);
	const stopOperators = await startOperatorServer(settings.listen.operators, {
		isReady: () => membership.state === InstanceState.Serving,
		status: () => describeDaemon({
			self, membership, catalogue, dispatchers, register, messages,
		}),
	});

	void runPlatformWatch({
		platform,
		catalogue,
		membership,
		directory,
		log,
		pollMilliseconds: settings.platform.pollMilliseconds,
		peerCallMilliseconds: settings.peers.callTimeoutMilliseconds,
		onNewCatalogue: heartbeats.announce,
		onReady() {
			if (membership.state === InstanceState.Starting) {
				membership.state = InstanceState.Serving;
				heartbeats.announce();
				log.info({event: 'serving', catalogueVersion: catalogue.catalogueVersion()}, 'the daemon takes requests');
			}
		},
	});
	const sweeps = [
		setInterval(dispatchers.sweep, sweepMilliseconds),
		setInterval(() => {
			membership.sweep();
			connections.sweep();
			register.sweep();
		}, slowSweepMilliseconds),
	];

	return {
		async leave() {
			log.info({event: 'leaving'}, 'the daemon finishes what it has and takes no new connections from the balancer');
			membership.state = InstanceState.Leaving;
			heartbeats.announce();
			const cut = await drain({...settings.drain, running: () => callers.busy() + register.unanswered(), log});
			callers.close();
			stopOperators();
			directory.close();
			stopPeers();
			for (const sweep of sweeps) {
				clearInterval(sweep);
			}

			log.info({event: 'stopped', cut}, 'the daemon has finished');
			return cut;
		},
	};
};
