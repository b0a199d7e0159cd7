import {FaultKind} from '@galenakeel/model/request/fault.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import type {Submission, SubmissionAnswer} from '@galenakeel/model/request/task.js';
import type {AttemptReport} from '../request/run-task.js';
import {PlacementPolicy} from '../version/placement-policy.js';
import {countOwnedSlots, type SlotOwner} from '../version/slot-ownership.js';
import type {ServiceVersion} from '../version/service-version.js';
import {createChooseEndpoint} from './choose-endpoint.js';
import {createRunEstimates, type RunEstimates} from './run-estimates.js';
import type {Peer} from './membership.js';
import {createSlotBorrower, type SlotBorrower} from './slot-borrower.js';
import {createSlotLeases, type SlotLease, type SlotLeases} from './slot-leases.js';
import {createServiceDispatcher, type ServiceDispatcher} from './service-dispatcher.js';
import {createSlotLedger} from './slot-ledger.js';
import {createArrivalOrder} from './task-queue.js';

/**
One service with what is known of it on this instance.
*/
export type DispatchedService = {
	readonly dispatcher: ServiceDispatcher;
	readonly estimates: RunEstimates;
	readonly leases: SlotLeases;
	readonly borrower: SlotBorrower;
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

const lendersOf = (peers: readonly Peer[], service: string): readonly Peer[] => {
	const freeOf = (peer: Peer): number => peer.hints.find(hint => hint.service === service)?.free ?? 0;
	return peers
		.filter(peer => peer.isReachable && freeOf(peer) > 0)
		.toSorted((first, second) => freeOf(second) - freeOf(first));
};

const leaseMilliseconds = 1000;

/**
Creates the dispatchers; there are none until a document is installed.

@param options.owners Instances among which slots are shared at present, this one included.
@param options.isLeavingEndpoint Tells whether an endpoint gets no new work.
@param options.borrowSlots Asks a peer for slots of a service; no slots when it does not reply.
*/
export const createServiceDispatchers = (options: {
	instance: string;
	policy: PlacementPolicy;
	owners: () => readonly SlotOwner[];
	isLeavingEndpoint: (address: string) => boolean;
	peers: () => readonly Peer[];
	borrowSlots: (lender: Peer, service: string, count: number) => Promise<readonly SlotLease[]>;
}): ServiceDispatchers => {
	const services = new Map<string, DispatchedService>();

	const share = ({dispatcher}: DispatchedService): void => {
		const {ledger, version} = dispatcher;
		ledger.install(version.endpoints, countOwnedSlots(options.instance, options.owners(), version.endpoints));
		for (const slots of ledger.all()) {
			slots.isOpen = !options.isLeavingEndpoint(slots.endpoint.address);
		}

		dispatcher.startNext();
	};

	const create = (version: ServiceVersion): DispatchedService => {
		const {service} = version.document;
		const estimates = createRunEstimates();
		const ledger = createSlotLedger(() => {
			services.get(service)?.dispatcher.startNext();
		});
		const choose = createChooseEndpoint(
			options.policy,
			(slots, kind) => estimates.expected(version.document, kind) / estimates.speed(slots.endpoint.address, slots.endpoint.speed),
		);
		const dispatcher = createServiceDispatcher({
			version,
			ledger,
			order: createArrivalOrder(),
			choose,
			canChoose: () => hasShares(options.policy) ? ledger.free() > 0 : [...ledger.all()].some(slots => slots.isOpen),
			meanRunMilliseconds: estimates.mean,
		});
		const leases = createSlotLeases(ledger, leaseMilliseconds, dispatcher.startNext);
		const borrower = createSlotBorrower({
			shortfall: () => ledger.free() > 0 ? 0 : dispatcher.waiting(),
			lenders: () => lendersOf(options.peers(), service),
			ask: async (lender, count) => options.borrowSlots(lender, service, count),
			use(lent) {
				leases.borrow(lent);
				dispatcher.startNext();
			},
		});
		if (options.policy === PlacementPolicy.SharesWithBorrowing) {
			void borrower.run();
		}

		return {
			dispatcher, estimates, leases, borrower,
		};
	};

	return {
		install(version) {
			const {service} = version.document;
			const existing = services.get(service);
			const dispatched = existing ?? create(version);
			dispatched.dispatcher.version = version;
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
			const {document} = version;
			const dispatched = services.get(document.service);
			if (!dispatched || version.endpoints.length === 0) {
				return {
					outcome: Outcome.NotRun, answers: [], fault: FaultKind.NoEndpoint, detail: `the document of "${document.service}" names no endpoint`,
				};
			}

			const wait = dispatched.dispatcher.expectedWaitMilliseconds();
			const bound = Math.min(document.maximumQueueMilliseconds, submission.deadlineMilliseconds);
			if (hasShares(options.policy) && wait > bound) {
				return {
					outcome: Outcome.NotRun, answers: [], fault: FaultKind.Overloaded, detail: `the expected wait of ${Math.round(wait)} ms is above ${bound} ms`, retryAfterMilliseconds: wait,
				};
			}

			return undefined;
		},
		report(service, attempt) {
			if (attempt.isSuccess) {
				services.get(service)?.estimates.record(attempt.endpoint.address, attempt.kind, attempt.durationMilliseconds);
			}
		},
		sweep() {
			for (const {dispatcher, borrower} of services.values()) {
				dispatcher.sweep();
				if (dispatcher.waiting() > 0) {
					borrower.wake();
				}
			}
		},
	};
};
