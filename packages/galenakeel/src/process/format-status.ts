import type {EndpointStatus, GuardStatus} from '@galenakeel/model/process/daemon-status.js';
import {GuardState} from '@galenakeel/model/process/guard-state.js';
import type {InstanceStatus} from '../connection/instance-status.js';
import {formatTable} from '../request/format-table.js';

type EndpointSummary = {
	readonly service: string;
	readonly address: string;
	readonly zone: string;
	owned: number;
	busy: number;
	availableFrom: number;
	reportedBy: number;
	/** Number of instances by the state of their guard of this endpoint; closed guards are not counted. */
	readonly guards: Map<string, number>;
};

const sumOf = (numbers: readonly number[]): number => numbers.reduce((sum, value) => sum + value, 0);

const formatInstances = (statuses: readonly InstanceStatus[]): string => formatTable(
	['INSTANCE', 'ZONE', 'STATE', 'CATALOGUE', 'WAITING', 'BUSY', 'USABLE', 'UNANSWERED', 'PEERS'],
	statuses.map(({
		instance, zone, state, catalogueVersion, services, unanswered, peers,
	}) => [
		instance,
		zone,
		state,
		String(catalogueVersion),
		services ? String(sumOf(services.map(({waiting}) => waiting))) : '-',
		services ? String(sumOf(services.map(({busy}) => busy))) : '-',
		services ? String(sumOf(services.map(({usable}) => usable))) : '-',
		String(unanswered ?? '-'),
		peers ? `${peers.filter(({isReachable}) => isReachable).length}/${peers.length}` : '-',
	]),
);

const formatDocuments = (statuses: readonly InstanceStatus[]): string => {
	const versions = new Map<string, Map<number, number>>();
	for (const {service, version} of statuses.flatMap(({documents}) => documents ?? [])) {
		const counts = versions.get(service) ?? new Map<number, number>();
		counts.set(version, (counts.get(version) ?? 0) + 1);
		versions.set(service, counts);
	}

	const rows = [...versions].flatMap(([service, counts]) => [...counts].toSorted(([first], [second]) => second - first).map(([version, count]) => [service, String(version), String(count)]));
	return formatTable(['SERVICE', 'VERSION', 'IN FORCE ON'], rows.toSorted(([first], [second]) => first!.localeCompare(second!)));
};

const describeGuard = ({state, reason}: GuardStatus): string => reason === undefined ? state : `${state} (${reason})`;

const formatGuards = (guards: ReadonlyMap<string, number>): string =>
	guards.size === 0 ? GuardState.Closed : [...guards].map(([guard, count]) => `${guard} on ${count}`).join(', ');

const addEndpoint = (views: Map<string, EndpointSummary>, service: string, endpoint: EndpointStatus): void => {
	const {address, zone, owned, busy, isOpen, guard} = endpoint;
	const key = `${service} ${address}`;
	const view = views.get(key) ?? {
		service, address, zone, owned: 0, busy: 0, availableFrom: 0, reportedBy: 0, guards: new Map<string, number>(),
	};
	view.owned += owned;
	view.busy += busy;
	view.availableFrom += isOpen ? 1 : 0;
	view.reportedBy++;
	if (guard.state !== GuardState.Closed) {
		const described = describeGuard(guard);
		view.guards.set(described, (view.guards.get(described) ?? 0) + 1);
	}

	views.set(key, view);
};

const formatEndpoints = (statuses: readonly InstanceStatus[]): string => {
	const views = new Map<string, EndpointSummary>();
	for (const {service, endpoints} of statuses.flatMap(({services}) => services ?? [])) {
		for (const endpoint of endpoints) {
			addEndpoint(views, service, endpoint);
		}
	}

	const sorted = [...views.values()].toSorted((first, second) => first.service.localeCompare(second.service) || first.zone.localeCompare(second.zone));
	return formatTable(
		['SERVICE', 'ENDPOINT', 'ZONE', 'SLOTS', 'BUSY', 'TAKES TASKS FROM', 'GUARD'],
		sorted.map(({
			service, address, zone, owned, busy, availableFrom, reportedBy, guards,
		}) => [service, address, zone, String(owned), String(busy), `${availableFrom}/${reportedBy}`, formatGuards(guards)]),
	);
};

/**
Formats the state of the fleet as tables of instances, document versions in force, and endpoints.
*/
export const formatStatus = (statuses: readonly InstanceStatus[]): string =>
	[formatInstances(statuses), formatDocuments(statuses), formatEndpoints(statuses)].join('\n\n');
