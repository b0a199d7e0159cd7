import {EndpointBehaviour} from '@galenakeel/stand-ins/process/endpoint-stand-in.js';
import {LinkState, type FaultProxy} from '@galenakeel/stand-ins/connection/fault-proxy.js';
import type {Fleet} from './fleet.js';

/**
The faults that the bench brings about, one after the other.
*/
export enum BenchFault {
	/** An endpoint answers every task at once with status 500. */
	FailingWorker = 'failing worker',
	/** An endpoint takes tasks and never answers. */
	FrozenWorker = 'frozen worker',
	/** A daemon is killed. */
	KilledDaemon = 'killed daemon',
	/** The daemons of one availability zone hear neither the others nor the platform. */
	CutZone = 'cut zone',
}

/**
Positions of the endpoints and of the daemon that the faults befall.
*/
export const faultPositions = {failingWorker: 0, frozenWorker: 1, killedDaemon: 5} as const;

const isolatedZone = 'zone-c';

/**
Lists the links that join the daemons of a zone to the platform and to the daemons of other zones.
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
Brings a fault about in a proxied fleet.
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
Ends a fault.
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
