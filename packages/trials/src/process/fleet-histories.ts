import {documentHistories} from './document-histories.js';
import type {FaultHistory} from './fault-history.js';
import {leavingHistories} from './leaving-histories.js';
import {outageHistories} from './outage-histories.js';
import {shutdownHistories} from './shutdown-histories.js';

/**
The histories of the points about the fleet and its documents.
*/
export const fleetHistories: Readonly<Record<'leavingEndpoint' | 'gracefulShutdown' | 'documentInForce' | 'platformOutage', readonly FaultHistory[]>> = {
	leavingEndpoint: leavingHistories,
	gracefulShutdown: shutdownHistories,
	documentInForce: documentHistories,
	platformOutage: outageHistories,
};
