import {earnedShare, JobOutcome, type EndedJob} from '../request/grown-job.js';
import {floorOfZone} from './grown-site.js';

/**
Figures of the jobs of one zone or one second.
*/
export type JobFigures = {
	readonly jobs: number;
	/** Share of the jobs that were answered as complete within their objective. */
	readonly inAim: number;
	/** Share of the jobs that were answered as complete. */
	readonly served: number;
	/** Share of the value of the jobs that was earned. */
	readonly earned: number;
	readonly late: number;
	readonly refused: number;
	readonly unanswered: number;
};

const servedOutcomes: ReadonlySet<JobOutcome> = new Set([JobOutcome.InAim, JobOutcome.Late, JobOutcome.TooLate]);
const millisecondsOfSecond = 1000;

/**
Counts how jobs ended. Shares of no jobs are 1.

@example
```
const {inAim} = figuresOf(ended);
```
*/
export const figuresOf = (ended: readonly EndedJob[]): JobFigures => {
	const count = (isCounted: (outcome: JobOutcome) => boolean): number => ended.filter(({outcome}) => isCounted(outcome)).length;
	const share = (isCounted: (outcome: JobOutcome) => boolean): number => ended.length === 0 ? 1 : count(isCounted) / ended.length;
	return {
		jobs: ended.length,
		inAim: share(outcome => outcome === JobOutcome.InAim),
		served: share(outcome => servedOutcomes.has(outcome)),
		earned: earnedShare(ended),
		late: count(outcome => outcome === JobOutcome.Late || outcome === JobOutcome.TooLate),
		refused: count(outcome => outcome === JobOutcome.Refused),
		unanswered: count(outcome => outcome === JobOutcome.Unanswered || outcome === JobOutcome.Failed),
	};
};

/**
Figures of the jobs that arrived in each second of the load.
*/
export const figuresBySecond = (ended: readonly EndedJob[], seconds: number): readonly JobFigures[] =>
	Array.from({length: seconds}, (_, second) => figuresOf(ended.filter(({arrivedAt}) => Math.floor(arrivedAt / millisecondsOfSecond) === second)));

/**
Share of its value that the worst zone earned.
*/
export const worstZoneEarned = (ended: readonly EndedJob[]): number =>
	Math.min(1, ...[...new Set(ended.map(({zone}) => zone))].map(zone => earnedShare(ended.filter(job => job.zone === zone))));

/**
Whether a second earned less than the floor of a zone.
*/
export const isShort = ({earned}: JobFigures): boolean => earned < floorOfZone;
