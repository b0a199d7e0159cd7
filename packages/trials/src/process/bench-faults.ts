import {EndpointBehaviour} from '@galenakeel/stand-ins/process/endpoint-stand-in.js';
import {LinkState, type FaultProxy} from '@galenakeel/stand-ins/connection/fault-proxy.js';
import type {Fleet} from './fleet.js';

/**
Faults that the benchmark injects, one at a time.
*/
export enum BenchFault {
	/** An endpoint answers every task immediately with status 500. */
	FailingWorker = 'failing worker',
	/** An endpoint accepts tasks and never answers them. */
	FrozenWorker = 'frozen worker',
	/** A daemon is killed with SIGKILL. */
	KilledDaemon = 'killed daemon',
	/** A network partition separates the daemons of one availability zone from all other daemons and from the platform. */
	CutZone = 'cut zone',
}

/**
Indexes, in the fleet, of the endpoints and the daemon that the faults affect.
*/
export const faultPositions = {failingWorker: 0, frozenWorker: 1, killedDaemon: 5} as const;

const isolatedZone = 'zone-c';

/**
Lists the proxies on the links between the daemons of a zone and the platform or the daemons of other zones.
*/
const linksOfZone = ({daemons, links}: Fleet, zone: string): readonly FaultProxy[] => {
	const inside = daemons.filter(daemon => daemon.zone === zone);
	const outside = daemons.filter(daemon => daemon.zone !== zone);
	return inside.flatMap(near => [
		links!.toPlatform.get(near.instance)!,
		...outside.flatMap(far => [links!.between(near.instance, far.instance), links!.between(far.instance, near.instance)]),
	]);
};

const setZoneState = (fleet: Fleet, state: LinkState): void => {
	for (const {faults} of linksOfZone(fleet, isolatedZone)) {
		faults.forward = state;
		faults.backward = state;
	}
};

/**
Injects a fault into a fleet whose links run through proxies.
*/
export const beginFault = (fleet: Fleet, fault: BenchFault): void => {
	switch (fault) {
		case BenchFault.FailingWorker: {
			fleet.endpoints[faultPositions.failingWorker]!.standIn.behaviour = EndpointBehaviour.FailAll;
			break;
		}

		case BenchFault.FrozenWorker: {
			fleet.endpoints[faultPositions.frozenWorker]!.standIn.behaviour = EndpointBehaviour.Freeze;
			break;
		}

		case BenchFault.KilledDaemon: {
			fleet.daemons[faultPositions.killedDaemon]!.signal('SIGKILL');
			break;
		}

		case BenchFault.CutZone: {
			setZoneState(fleet, LinkState.Silent);
		}
	}
};

/**
Reverts a fault that `beginFault` has injected.
*/
export const endFault = async (fleet: Fleet, fault: BenchFault): Promise<void> => {
	switch (fault) {
		case BenchFault.FailingWorker: {
			fleet.endpoints[faultPositions.failingWorker]!.standIn.behaviour = EndpointBehaviour.Normal;
			break;
		}

		case BenchFault.FrozenWorker: {
			fleet.endpoints[faultPositions.frozenWorker]!.standIn.behaviour = EndpointBehaviour.Normal;
			break;
		}

		case BenchFault.KilledDaemon: {
			await fleet.restart(fleet.daemons[faultPositions.killedDaemon]!.instance);
			break;
		}

		case BenchFault.CutZone: {
			setZoneState(fleet, LinkState.Open);
		}
	}
};
