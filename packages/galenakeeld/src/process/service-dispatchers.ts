import {performance} from 'node:perf_hooks';
import {FaultKind} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Submission, SubmissionAnswer} from '@galenakeel/model/request/task.js';
import type {AttemptReport} from '../request/run-task.js';
import type {countOwnedSlots, SlotOwner} from '../version/slot-ownership.js';
import type {ServiceVersion} from '../version/service-version.js';
import {PlacementPolicy} from './placement-policy.js';
import {createChooseEndpoint} from './choose-endpoint.js';
import {createEndpointGuards, type EndpointGuards} from './endpoint-guards.js';
import type {Peer, SlotHint} from './membership.js';
import {createRetryBudget, type RetryBudget} from './retry-budget.js';
import {createRunEstimates, type RunEstimates} from './run-estimates.js';
import {createRunningTasks, type RunningTasks} from './running-tasks.js';
import {createServiceAdmission, type AdmittedSubmission} from './service-admission.js';
import {createHeldSlots, type HeldSlots} from './held-slots.js';
import {createLentSlots, type LentSlots} from './lent-slots.js';
import type {LendingCalls} from './lending-calls.js';
import {createSlotBorrower, type SlotBorrower} from './slot-borrower.js';
import {createServiceDispatcher, type ServiceDispatcher} from './service-dispatcher.js';
import {createSlotLedger, type EndpointSlots} from './slot-ledger.js';
import {createTeamLoads, type TeamLoads} from './team-loads.js';
import {createWaitingOrder} from './waiting-order.js';

/**
The state of one service on this instance.
*/
export type DispatchedService = {
	readonly dispatcher: ServiceDispatcher;
	readonly estimates: RunEstimates;
	readonly running: RunningTasks;
	readonly guards: EndpointGuards;
	readonly retries: RetryBudget;
	readonly lent: LentSlots;
	readonly held: HeldSlots;
	readonly loads: TeamLoads;
	readonly borrower: SlotBorrower;
	readonly admit: (version: ServiceVersion, submission: AdmittedSubmission) => SubmissionAnswer | undefined;
};

/**
The services of this instance with their dispatchers.
*/
export type ServiceDispatchers = {
	/** Installs a new document version; creates the dispatcher of the service if it does not exist. */
	readonly install: (version: ServiceVersion) => void;
	/** Redistributes the slots among the instances after the members or the leaving endpoints have changed. */
	readonly redistributeSlots: () => void;
	readonly serviceOf: (service: string) => DispatchedService | undefined;
	readonly all: () => Iterable<readonly [service: string, service: DispatchedService]>;
	/** Returns the refusal of a submission that cannot be completed in time, or `undefined` if it is admitted. */
	readonly admit: (version: ServiceVersion, submission: Pick<Submission, 'deadlineMilliseconds' | 'tasks' | 'team'>) => SubmissionAnswer | undefined;
	/** Updates guards, retry budget and estimates with the result of an attempt. */
	readonly report: (service: string, attempt: AttemptReport) => void;
	/** Updates time-dependent state of all services, such as leases and deadlines; called at a fixed interval. */
	readonly sweep: () => void;
};

const hasShares = (policy: PlacementPolicy): boolean => policy === PlacementPolicy.Shares || policy === PlacementPolicy.SharesWithBorrowing;

const leaseMilliseconds = 3000;

const sumOf = <Item>(items: Iterable<Item>, measure: (item: Item) => number): number => {
	let sum = 0;
	for (const item of items) {
		sum += measure(item);
	}

	return sum;
};

/**
Creates an empty collection of dispatchers; a dispatcher is created when the first document of its service is installed.

@param options.owners Returns the instances that currently share the slots, including this one.
@param options.isLeavingEndpoint Whether an endpoint is leaving and receives no new tasks.
@param options.borrowSlots Asks a peer to renew leases and to lend more slots; returns `undefined` if the peer does not reply.
@param options.returnSlots Returns borrowed slots to a peer.
*/
export const createServiceDispatchers = (options: LendingCalls & {
	instance: string;
	/** Returns the number of slots of each endpoint that this instance owns. */
	countOwnedSlots: typeof countOwnedSlots;
	policy: PlacementPolicy;
	owners: () => readonly SlotOwner[];
	isLeavingEndpoint: (address: string) => boolean;
	peers: () => readonly Peer[];
}): ServiceDispatchers => {
	const services = new Map<string, DispatchedService>();

	const redistributeServiceSlots = ({dispatcher}: DispatchedService): void => {
		const {ledger, version} = dispatcher;
		const owners = options.owners();
		ledger.install(version.endpoints, options.countOwnedSlots(options.instance, owners, version.endpoints), owners.length);
		for (const slots of ledger.all()) {
			ledger.change(slots, {isOpen: !options.isLeavingEndpoint(slots.endpoint.address)});
		}

		dispatcher.startNext();
	};

	const create = (version: ServiceVersion): DispatchedService => {
		const {service} = version.document;
		const estimates = createRunEstimates();
		const running = createRunningTasks();
		const ledger = createSlotLedger(() => {
			services.get(service)?.dispatcher.startNext();
		});
		const speedOf = ({endpoint}: EndpointSlots): number => estimates.speed(endpoint.address, endpoint.speed);
		const loads = createTeamLoads({
			shares: () => dispatcher.version.document.quotas,
			capacity: () => sumOf(ledger.all(), slots => slots.endpoint.slots * speedOf(slots)),
		});
		const dispatcher: ServiceDispatcher = createServiceDispatcher({
			version,
			ledger,
			running,
			estimates,
			loads,
			order: createWaitingOrder(team => dispatcher.version.document.quotas[team]?.share),
			choose: createChooseEndpoint(options.policy, speedOf, () => performance.now()),
			hasShares: hasShares(options.policy),
			onShortage() {
				borrower.wake();
			},
		});
		const lent = createLentSlots(ledger, {
			leaseMilliseconds,
			surplus: dispatcher.surplus,
			surplusWithinQuota: dispatcher.surplusWithinQuota,
			hasShortage: () => dispatcher.waitingWithinQuota() > 0,
			onReturn: dispatcher.startNext,
		});
		const held = createHeldSlots(ledger, leaseMilliseconds);
		const hintOf = (peer: Peer): SlotHint | undefined => peer.hints.find(hint => hint.service === service);
		const borrower = createSlotBorrower({
			held,
			shortfall: dispatcher.shortfall,
			teams: loads.largestLoads,
			onTeamLoads(lender, teams) {
				loads.receivePeerLoads(lender, teams, performance.now());
			},
			started: dispatcher.started,
			peers: options.peers,
			advertisedFreeOf: peer => hintOf(peer)?.free ?? 0,
			isBusy: peer => loads.teamsOverQuota().size > 0 && (hintOf(peer)?.waiting ?? 0) > 0,
			requestSlots: async (lender, request) => options.borrowSlots(lender, service, request),
			returnSlots: async (lender, returned) => options.returnSlots(lender, service, returned),
			onBorrowed: dispatcher.startNext,
		});
		if (options.policy === PlacementPolicy.SharesWithBorrowing) {
			void borrower.run();
		}

		const guards = createEndpointGuards({
			ledger,
			running,
			limits: () => dispatcher.version.document.guards,
			maximumExpectedRunTime: (slots, kind) => estimates.ofKind(kind).percentile99 / speedOf(slots),
		});
		return {
			dispatcher,
			estimates,
			running,
			guards,
			retries: createRetryBudget(() => dispatcher.version.document.guards.retryBudget),
			lent,
			held,
			loads,
			borrower,
			admit: createServiceAdmission({
				dispatcher: {...dispatcher, loadFor: (team, kind) => dispatcher.quotas.limitLoad(team, dispatcher.loadFor(team, kind))},
				estimates,
				hasShares: hasShares(options.policy),
			}),
		};
	};

	return {
		install(version) {
			const {service} = version.document;
			const dispatched = services.get(service) ?? create(version);
			dispatched.dispatcher.version = version;
			dispatched.estimates.declare(version.document);
			services.set(service, dispatched);
			redistributeServiceSlots(dispatched);
		},
		redistributeSlots() {
			for (const dispatched of services.values()) {
				redistributeServiceSlots(dispatched);
			}
		},
		serviceOf: service => services.get(service),
		all: () => services,
		admit(version, submission) {
			const dispatched = services.get(version.document.service);
			if (!dispatched) {
				return {
					outcome: Outcome.NotRun, answers: [], fault: FaultKind.UnknownService, detail: `no document in force names the service "${version.document.service}"`,
				};
			}

			dispatched.loads.addOfferedWork(submission.team, sumOf(submission.tasks, ({kind}) => dispatched.estimates.ofKind(kind).typical));
			return dispatched.admit(version, submission);
		},
		report(service, attempt) {
			const dispatched = services.get(service);
			if (!dispatched) {
				return;
			}

			const {endpoint, kind, durationMilliseconds} = attempt;
			dispatched.retries.recordAttempt();
			if (hasShares(options.policy)) {
				dispatched.guards.report(attempt, performance.now());
			}

			if (attempt.isSuccess) {
				dispatched.estimates.record(endpoint.address, endpoint.speed, kind, durationMilliseconds);
			}
		},
		sweep() {
			const now = performance.now();
			for (const {dispatcher, lent, held, loads, guards, borrower} of services.values()) {
				if (hasShares(options.policy)) {
					guards.sweep(now);
				}

				lent.sweep(now);
				held.sweep(now);
				loads.sweep(now);
				dispatcher.sweep();
				dispatcher.startNext();
				borrower.wake();
			}
		},
	};
};
