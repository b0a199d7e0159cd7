/**
Whether an endpoint answers looks.
*/
export type EndpointContact = {
	/** A look was answered at least once. */
	readonly hasLooked: () => boolean;
	/** It was answered, and counts as answering now. */
	readonly isReached: () => boolean;
	/** It counts as one that doesn't answer. */
	readonly isSilent: () => boolean;
	/** The first look has neither been answered nor missed. */
	readonly isAwaited: () => boolean;
	/** The last look was not answered. */
	readonly hasMissed: () => boolean;
	/** So many looks in a row were not answered that the next one waits. */
	readonly isPausing: () => boolean;
	readonly noteAnswer: () => void;
	/**
	Notes a look without a report.

	@param isUnknown No answer came, rather than one that turns the look away.
	*/
	readonly noteMiss: (isUnknown: boolean) => void;
};

/** Looks in a row without an answer after which an endpoint counts as silent. */
const mostMissedLooks = 2;

/**
Creates the contact to an endpoint that was not looked at yet. A single look without an answer makes nobody silent who has answered before, as answers get lost.

@example
```
const contact = createEndpointContact();
contact.noteAnswer();
contact.isReached(); // => true
```
*/
export const createEndpointContact = (): EndpointContact => {
	let hasLooked = false;
	let isSilent = false;
	let missedLooks = 0;

	return {
		hasLooked: () => hasLooked,
		isReached: () => hasLooked && !isSilent,
		isSilent: () => isSilent,
		isAwaited: () => !hasLooked && !isSilent,
		hasMissed: () => missedLooks > 0,
		isPausing: () => missedLooks >= mostMissedLooks,
		noteAnswer() {
			hasLooked = true;
			isSilent = false;
			missedLooks = 0;
		},
		noteMiss(isUnknown) {
			missedLooks++;
			isSilent ||= !hasLooked || !isUnknown || missedLooks >= mostMissedLooks;
		},
	};
};
