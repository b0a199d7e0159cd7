/**
Whether an endpoint answers polls.
*/
export type EndpointReachability = {
	/** At least one poll was answered. */
	readonly hasAnswered: () => boolean;
	/** The endpoint has answered before and does not count as silent. */
	readonly isReachable: () => boolean;
	/** The endpoint counts as not answering. */
	readonly isSilent: () => boolean;
	/** The first poll has neither been answered nor failed. */
	readonly isAwaitingFirstAnswer: () => boolean;
	/** The last poll was not answered. */
	readonly hasMissedPoll: () => boolean;
	/** So many polls in a row were not answered that the next one is delayed. */
	readonly isBackingOff: () => boolean;
	readonly recordAnswer: () => void;
	/**
	Records a poll without a report.

	@param isUnknown Whether no answer arrived, rather than one that rejected the poll.
	*/
	readonly recordMissedPoll: (isUnknown: boolean) => void;
};

/** Consecutive polls without an answer after which an endpoint counts as silent. */
const maximumMissedPolls = 2;

/**
Creates the reachability of an endpoint that was not polled yet. An endpoint that has answered before stays reachable after a single poll without an answer, since an answer can be lost.

@example
```
const reachability = createEndpointReachability();
reachability.recordAnswer();
reachability.isReachable(); // => true
```
*/
export const createEndpointReachability = (): EndpointReachability => {
	let hasAnswered = false;
	let isSilent = false;
	let missedPolls = 0;

	return {
		hasAnswered: () => hasAnswered,
		isReachable: () => hasAnswered && !isSilent,
		isSilent: () => isSilent,
		isAwaitingFirstAnswer: () => !hasAnswered && !isSilent,
		hasMissedPoll: () => missedPolls > 0,
		isBackingOff: () => missedPolls >= maximumMissedPolls,
		recordAnswer() {
			hasAnswered = true;
			isSilent = false;
			missedPolls = 0;
		},
		recordMissedPoll(isUnknown) {
			missedPolls++;
			isSilent ||= !hasAnswered || !isUnknown || missedPolls >= maximumMissedPolls;
		},
	};
};
