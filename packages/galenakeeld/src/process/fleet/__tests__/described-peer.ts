import type {CellLoad} from '@galenakeel/model/connection/fleet-message.js';
import type {Peer} from '../fleet-view.js';

/**
Creates a peer for a test.

@param options.owned Cells that it owns, with their loads.
@param options.version Version of its configuration; 1 by default.

@example
```
createDescribedPeer({address: 's1', zone: 'south', owned: new Map([['south', undefined]])});
```
*/
export const createDescribedPeer = ({address, zone, owned = new Map(), version = 1}: {
	readonly address: string;
	readonly zone: string;
	readonly owned?: ReadonlyMap<string, CellLoad | undefined>;
	readonly version?: number;
}): Peer => ({
	instance: address,
	address,
	zone,
	startedAt: 1,
	processor: 1000,
	silentAfterMilliseconds: 700,
	neededSilenceMilliseconds: 700,
	pausesBefore: 0,
	isLeaving: false,
	claims: new Map([...owned.keys()].map(cell => [cell, {token: 1, term: 1}])),
	loads: new Map([...owned].filter((entry): entry is [string, CellLoad] => entry[1] !== undefined)),
	loadsUpdatedAt: 0,
	lastHeartbeatAt: 0,
	configurationVersion: version,
	newestVersion: version,
	known: [],
});
