import {
	crossedHistory, failingEndpointsHistory, longAnswerHistory, longJobHistory, mixedHistory, unrepeatableHistory,
} from './answer-histories.js';
import {brokenRequestHistory} from './broken-request-histories.js';
import type {FaultHistory} from './fault-history.js';
import {
	forgottenHistory, keyedHistory, killHistories, pauseHistory, raceHistory,
} from './holder-histories.js';
import {
	cancelWaveHistory, outOfReachHistory, overloadHistory, pausedQueueHistory,
} from './refusal-histories.js';

/**
The histories of the points about submissions and their answers.
*/
export const submissionHistories: Readonly<Record<'startsOnce' | 'jobWhole' | 'wholeAnswer' | 'trueRefusal' | 'atMostOnce', readonly FaultHistory[]>> = {
	startsOnce: [...killHistories, pauseHistory, raceHistory, forgottenHistory],
	jobWhole: [failingEndpointsHistory, longJobHistory],
	wholeAnswer: [crossedHistory, longAnswerHistory],
	trueRefusal: [overloadHistory, pausedQueueHistory, cancelWaveHistory, outOfReachHistory, brokenRequestHistory],
	atMostOnce: [keyedHistory, unrepeatableHistory, mixedHistory],
};
