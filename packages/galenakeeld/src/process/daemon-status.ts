import type {
	ControlMessageCounts, DaemonStatus, EndpointStatus, GuardStatus, ServiceStatus,
} from '@galenakeel/model/process/daemon-status.js';
import type {DocumentCatalogue} from '../version/document-catalogue.js';
import type {Incarnation} from './incarnation.js';
import type {Membership} from './membership.js';
import type {DispatchedService, ServiceDispatchers} from './service-dispatchers.js';
import type {EndpointSlots} from './slot-ledger.js';
import type {SubmissionRegister} from './submission-register.js';

const describeEndpoint = ({endpoint, owned, lent, borrowed, busy, isOpen}: EndpointSlots, guard: GuardStatus): EndpointStatus => ({
	address: endpoint.address, zone: endpoint.zone, owned, lent, borrowed, busy, isOpen, guard,
});

const describeService = (service: string, {dispatcher, guards}: DispatchedService): ServiceStatus => ({
	service,
	waiting: dispatcher.waiting(),
	usable: dispatcher.ledger.usable(),
	busy: dispatcher.ledger.busy(),
	free: dispatcher.ledger.free(),
	endpoints: [...dispatcher.ledger.all()].map(slots => describeEndpoint(slots, guards.statusOf(slots.endpoint.address))),
});

/**
Creates the status report of the daemon for operators.
*/
export const describeDaemon = (parts: {
	readonly self: Incarnation;
	readonly membership: Membership;
	readonly catalogue: DocumentCatalogue;
	readonly dispatchers: ServiceDispatchers;
	readonly register: SubmissionRegister;
	readonly messages: ControlMessageCounts;
}): DaemonStatus => ({
	instance: parts.self.instance,
	incarnation: parts.self.incarnation,
	zone: parts.self.zone,
	state: parts.membership.state(),
	catalogueVersion: parts.catalogue.catalogueVersion(),
	documents: parts.catalogue.all().map(({version, document}) => ({service: document.service, version})),
	peers: parts.membership.peers().map(({instance, state, isReachable}) => ({instance, state, isReachable})),
	services: [...parts.dispatchers.all()].map(([service, dispatched]) => describeService(service, dispatched)),
	unanswered: parts.register.unanswered(),
	leavingEndpoints: parts.membership.leavingEndpoints(),
	messages: parts.messages,
});
