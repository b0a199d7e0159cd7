import {ProvePoint} from '../version/prove-point.js';
import type {FaultHistory} from './fault-history.js';
import {fleetHistories} from './fleet-histories.js';
import {submissionHistories} from './submission-histories.js';

/**
The fault histories of each point.
*/
export const faultHistories: Readonly<Record<ProvePoint, readonly FaultHistory[]>> = {
	[ProvePoint.StartsOnce]: submissionHistories.startsOnce,
	[ProvePoint.JobWhole]: submissionHistories.jobWhole,
	[ProvePoint.WholeAnswer]: submissionHistories.wholeAnswer,
	[ProvePoint.TrueRefusal]: submissionHistories.trueRefusal,
	[ProvePoint.AtMostOnce]: submissionHistories.atMostOnce,
	[ProvePoint.LeavingEndpoint]: fleetHistories.leavingEndpoint,
	[ProvePoint.GracefulShutdown]: fleetHistories.gracefulShutdown,
	[ProvePoint.DocumentInForce]: fleetHistories.documentInForce,
	[ProvePoint.PlatformOutage]: fleetHistories.platformOutage,
};
