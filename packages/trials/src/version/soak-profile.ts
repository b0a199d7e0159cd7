import {SoakFault} from './soak-plan.js';

/**
What a soak does to the fleet, and what its callers ask for.
*/
export type SoakProfile = {
	readonly faults: readonly SoakFault[];
	/** Longest time from one fault to the next. */
	readonly mostGapMilliseconds: number;
	readonly leastLastMilliseconds: number;
	readonly mostLastMilliseconds: number;
	readonly leastTasks: number;
	/** Tasks of a step. */
	readonly mostTasks: number;
	readonly leastTaskMilliseconds: number;
	readonly mostTaskMilliseconds: number;
	/** Mean time from one job to the next. */
	readonly meanGapMilliseconds: number;
	/** Share of the calls that their caller breaks off after a while. */
	readonly impatientShare: number;
};

/**
Names of the profiles.
*/
export enum SoakProfileName {
	/** All faults, and small jobs. */
	Any = 'any',
	/** Daemons and endpoints that stand still or start anew, and streams between daemons that break, while wide jobs move between cells and are sent again. */
	Moves = 'moves',
}

/**
The profiles by name.
*/
export const soakProfiles: Readonly<Record<SoakProfileName, SoakProfile>> = {
	[SoakProfileName.Any]: {
		faults: Object.values(SoakFault),
		mostGapMilliseconds: 2500,
		leastLastMilliseconds: 200,
		mostLastMilliseconds: 3500,
		leastTasks: 1,
		mostTasks: 6,
		leastTaskMilliseconds: 10,
		mostTaskMilliseconds: 500,
		meanGapMilliseconds: 120,
		impatientShare: 0.1,
	},
	[SoakProfileName.Moves]: {
		faults: [
			SoakFault.OwnerKilled,
			SoakFault.OwnerPaused,
			SoakFault.HolderKilled,
			SoakFault.HolderPaused,
			SoakFault.DaemonKilled,
			SoakFault.DaemonPaused,
			SoakFault.DaemonsKilledInTurn,
			SoakFault.PeerStreamsReset,
			SoakFault.PeerStreamsSilent,
			SoakFault.EndpointKilled,
			SoakFault.EndpointPaused,
			SoakFault.EndpointResets,
		],
		mostGapMilliseconds: 1500,
		leastLastMilliseconds: 300,
		mostLastMilliseconds: 2000,
		leastTasks: 2,
		mostTasks: 12,
		leastTaskMilliseconds: 50,
		mostTaskMilliseconds: 800,
		meanGapMilliseconds: 300,
		impatientShare: 0.3,
	},
};
