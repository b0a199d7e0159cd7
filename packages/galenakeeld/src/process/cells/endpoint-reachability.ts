/**
Whether an endpoint answers looks.
*/
export type EndpointReachability = {
	/** A look was answered at least once. */
	readonly hasAnswered: () => boolean;
	/** It was answered, and counts as answering now. */
	readonly isReachable: () => boolean;
	/** It counts as one that doesn't answer. */
	readonly isSilent: () => boolean;
	/** The first look has neither been answered nor missed. */
	readonly isAwaitingFirstAnswer: () => boolean;
	/** The last look was not answered. */
	readonly hasMissedPoll: () => boolean;
	/** So many looks in a row were not answered that the next one waits. */
	readonly isBackingOff: () => boolean;
	readonly recordAnswer: () => void;
	/**
	Notes a look without a report.

	@param isUnknown No answer came, rather than one that turns the look away.
	*/
	readonly recordMissedPoll: (isUnknown: boolean) => void;
};

/** Looks in a row without an answer after which an endpoint counts as silent. */
const maximumMissedPolls = 2;

/**
Creates the contact to an endpoint that was not looked at yet. A single look without an answer makes nobody silent who has answered before, as answers get lost.

@example
```
const contact = createEndpointContact();
contact.noteAnswer();
contact.isReached(); // => true
```
*/
export const createEndpointReachability = (): EndpointReachability => {
	let hasLooked = false;
	let isSilent = false;
	let missedPolls = 0;

	return {
		hasAnswered: () => hasLooked,
		isReachable: () => hasLooked && !isSilent,
		isSilent: () => isSilent,
		isAwaitingFirstAnswer: () => !hasLooked && !isSilent,
		hasMissedPoll: () => missedPolls > 0,
		isBackingOff: () => missedPolls >= maximumMissedPolls,
		recordAnswer() {
			hasLooked = true;
			isSilent = false;
			missedPolls = 0;
		},
		recordMissedPoll(isUnknown) {
			missedPolls++;
			isSilent ||= !hasLooked || !isUnknown || missedPolls >= maximumMissedPolls;
		},
	};
};
