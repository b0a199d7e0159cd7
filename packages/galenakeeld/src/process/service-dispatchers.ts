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
import type {Peer} from './membership.js';
import {createRetryBudget, type RetryBudget} from './retry-budget.js';
import {createRunEstimates, type RunEstimates} from './run-estimates.js';
import {createRunningTasks, type RunningTasks} from './running-tasks.js';
import {createServiceAdmission, type AdmittedSubmission} from './service-admission.js';
import {createSlotBorrower, type LendReply, type SlotBorrower} from './slot-borrower.js';
import {createSlotLeases, type SlotLease, type SlotLeases} from './slot-leases.js';
import {createServiceDispatcher, type ServiceDispatcher} from './service-dispatcher.js';
import {createSlotLedger, type EndpointSlots} from './slot-ledger.js';
import {createWaitingOrder} from './waiting-order.js';

/**
One service with what is known of it on this instance.
*/
export type DispatchedService = {
	readonly dispatcher: ServiceDispatcher;
	readonly estimates: RunEstimates;
	readonly running: RunningTasks;
	readonly guards: EndpointGuards;
	readonly retries: RetryBudget;
	readonly leases: SlotLeases;
	readonly borrower: SlotBorrower;
	readonly admit: (version: ServiceVersion, submission: AdmittedSubmission) => SubmissionAnswer | undefined;
};

/**
The dispatchers of all services on this instance.
*/
export type ServiceDispatchers = {
	/** Creates or updates the dispatcher of a service for a new document version. */
	readonly install: (version: ServiceVersion) => void;
	/** Shares the slots anew after a change of members or of leaving endpoints. */
	readonly shareSlots: () => void;
	readonly serviceOf: (service: string) => DispatchedService | undefined;
	readonly all: () => Iterable<readonly [service: string, service: DispatchedService]>;
	/** Refuses a submission that can't be served in time; `undefined` admits it. */
	readonly admit: (version: ServiceVersion, submission: Pick<Submission, 'deadlineMilliseconds' | 'tasks' | 'team'>) => SubmissionAnswer | undefined;
	/** Learns from an attempt at a task. */
	readonly report: (service: string, attempt: AttemptReport) => void;
	readonly sweep: () => void;
};

const hasShares = (policy: PlacementPolicy): boolean => policy === PlacementPolicy.Shares || policy === PlacementPolicy.SharesWithBorrowing;

const leaseMilliseconds = 3000;

/**
Creates the dispatchers; there are none until a document is installed.

@param options.owners Instances among which slots are shared at present, this one included.
@param options.isLeavingEndpoint Tells whether an endpoint gets no new work.
@param options.borrowSlots Asks a peer to renew leases and to lend more; `undefined` when it does not reply.
@param options.returnSlots Gives slots back to a peer.
*/
export const createServiceDispatchers = (options: {
	instance: string;
	/** Counts the slots of each endpoint that belong to this instance. */
	countOwnedSlots: typeof countOwnedSlots;
	policy: PlacementPolicy;
	owners: () => readonly SlotOwner[];
	isLeavingEndpoint: (address: string) => boolean;
	peers: () => readonly Peer[];
	borrowSlots: (lender: Peer, service: string, held: readonly SlotLease[], count: number) => Promise<LendReply | undefined>;
	returnSlots: (lender: Peer, service: string, returned: readonly SlotLease[]) => Promise<void>;
}): ServiceDispatchers => {
	const services = new Map<string, DispatchedService>();

	const share = ({dispatcher}: DispatchedService): void => {
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
		const dispatcher: ServiceDispatcher = createServiceDispatcher({
			version,
			ledger,
			running,
			estimates,
			order: createWaitingOrder(team => dispatcher.version.document.quotas[team]?.share),
			choose: createChooseEndpoint(options.policy, speedOf, () => performance.now()),
			hasShares: hasShares(options.policy),
			onShortage() {
				borrower.wake();
			},
		});
		const leases = createSlotLeases(ledger, {
			leaseMilliseconds, surplus: dispatcher.surplus, isShort: () => dispatcher.waiting() > 0, onReturn: dispatcher.startNext,
		});
		const borrower = createSlotBorrower({
			leases,
			shortfall: dispatcher.shortfall,
			started: dispatcher.started,
			peers: options.peers,
			hintOf: peer => peer.hints.find(hint => hint.service === service)?.free ?? 0,
			ask: async (lender, held, count) => options.borrowSlots(lender, service, held, count),
			giveBack: async (lender, returned) => options.returnSlots(lender, service, returned),
			onBorrowed: dispatcher.startNext,
		});
		if (options.policy === PlacementPolicy.SharesWithBorrowing) {
			void borrower.run();
		}

		const guards = createEndpointGuards({
			ledger,
			running,
			limits: () => dispatcher.version.document.guards,
			longestRun: (slots, kind) => estimates.ofKind(kind).percentile99 / speedOf(slots),
		});
		return {
			dispatcher,
			estimates,
			running,
			guards,
			retries: createRetryBudget(() => dispatcher.version.document.guards.retryBudget),
			leases,
			borrower,
			admit: createServiceAdmission({dispatcher, estimates, hasShares: hasShares(options.policy)}),
		};
	};

	return {
		install(version) {
			const {service} = version.document;
			const dispatched = services.get(service) ?? create(version);
			dispatched.dispatcher.version = version;
			dispatched.estimates.declare(version.document);
			services.set(service, dispatched);
			share(dispatched);
		},
		shareSlots() {
			for (const dispatched of services.values()) {
				share(dispatched);
			}
		},
		serviceOf: service => services.get(service),
		all: () => services,
		admit(version, submission) {
			const dispatched = services.get(version.document.service);
			return dispatched
				? dispatched.admit(version, submission)
				: {
					outcome: Outcome.NotRun, answers: [], fault: FaultKind.UnknownService, detail: `no document in force names the service "${version.document.service}"`,
				};
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
			for (const {dispatcher, leases, guards, borrower} of services.values()) {
				if (hasShares(options.policy)) {
					guards.sweep(now);
				}

				leases.sweep(now);
				dispatcher.sweep();
				dispatcher.startNext();
				borrower.wake();
			}
		},
	};
};
