import type {FaultHistory} from './fault-history.js';

/**
The histories of the points about the fleet and its documents.
*/
export const fleetHistories: Readonly<Record<'leavingEndpoint' | 'gracefulShutdown' | 'documentInForce' | 'platformOutage', readonly FaultHistory[]>> = {
	leavingEndpoint: [],
	gracefulShutdown: [],
	documentInForce: [],
	platformOutage: [],
};
