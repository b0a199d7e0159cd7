import {
	crossedAnswersHistory, failingEndpointsHistory, longAnswerHistory, longJobHistory, mixedIdempotencyHistory, nonIdempotentHistory,
} from './answer-histories.js';
import {brokenRequestHistory} from './broken-request-histories.js';
import type {FaultHistory} from './fault-history.js';
import {
	expiredAnswersHistory, keyedHistory, killHistories, pauseHistory, raceHistory,
} from './holder-histories.js';
import {
	cancelWaveHistory, unreachableHistory, overloadHistory, pausedQueueHistory,
} from './refusal-histories.js';

/**
The histories of the points about submissions and their answers.
*/
export const submissionHistories: Readonly<Record<'startsOnce' | 'jobWhole' | 'wholeAnswer' | 'trueRefusal' | 'atMostOnce', readonly FaultHistory[]>> = {
	startsOnce: [...killHistories, pauseHistory, raceHistory, expiredAnswersHistory],
	jobWhole: [failingEndpointsHistory, longJobHistory],
	wholeAnswer: [crossedAnswersHistory, longAnswerHistory],
	trueRefusal: [overloadHistory, pausedQueueHistory, cancelWaveHistory, unreachableHistory, brokenRequestHistory],
	atMostOnce: [keyedHistory, nonIdempotentHistory, mixedIdempotencyHistory],
};
