/**
Which of the endpoints that a task fits on it is placed on.
*/

/**
An endpoint that a task fits on.
*/
export type EndpointChoice<Candidate> = {
	readonly candidate: Candidate;
	/** Expected run time of the task. */
	readonly milliseconds: number;
	/** Run times of one class count as equal. */
	readonly speedClass: number;
	/** Thousandths of a core. */
	readonly freeProcessor: number;
};

/** Width of a run-time class as a factor; within a class, best fit decides. */
const speedClassFactor = 1.05;
const logOfSpeedClassFactor = Math.log(speedClassFactor);
/** Ratio of the time until the due time to the expected run time from which an endpoint counts as fast enough. */
export const safetyFactor = 1.25;

/**
Creates a choice.
*/
export const createEndpointChoice = <Candidate>(candidate: Candidate, milliseconds: number, freeProcessor: number): EndpointChoice<Candidate> => ({
	candidate, milliseconds, speedClass: Math.round(Math.log(milliseconds) / logOfSpeedClassFactor), freeProcessor,
});

type Compare = (first: EndpointChoice<unknown>, second: EndpointChoice<unknown>) => number;

/** Best fit: prefers the endpoint with the least free processor, which keeps capacity for large tasks elsewhere. */
const bestFitFirst: Compare = (first, second) => first.freeProcessor - second.freeProcessor;

const fastestFirst: Compare = (first, second) => first.speedClass - second.speedClass || bestFitFirst(first, second);

const slowestFirst: Compare = (first, second) => second.speedClass - first.speedClass || bestFitFirst(first, second);

/** The choice that a stable sort would put first. */
const firstBy = <Candidate>(choices: ReadonlyArray<EndpointChoice<Candidate>>, compare: Compare): EndpointChoice<Candidate> | undefined => {
	let best = choices[0];
	for (const choice of choices) {
		best = compare(choice, best!) < 0 ? choice : best;
	}

	return best;
};

/**
Chooses an endpoint for a task that can still be in time. While capacity is scarce, this is the slowest endpoint that meets the due time with a safety margin, so that faster ones stay free for longer tasks; otherwise the fastest. Returns undefined if the task would be late on the fastest.

@example
```
chooseInTime([createEndpointChoice('i-1', 50, 8000), createEndpointChoice('i-2', 120, 8000)], 200, true); // => 'i-2'
```
*/
export const chooseInTime = <Candidate>(choices: ReadonlyArray<EndpointChoice<Candidate>>, timeUntilDue: number, isScarce: boolean): Candidate | undefined => {
	const safe = isScarce ? choices.filter(({milliseconds}) => milliseconds * safetyFactor <= timeUntilDue) : [];
	if (safe.length > 0) {
		return firstBy(safe, slowestFirst)!.candidate;
	}

	const fastest = firstBy(choices, fastestFirst);
	return fastest && fastest.milliseconds <= timeUntilDue ? fastest.candidate : undefined;
};

/**
Chooses the slowest endpoint, for a task that is late anyway.
*/
export const chooseSlowest = <Candidate>(choices: ReadonlyArray<EndpointChoice<Candidate>>): Candidate | undefined => firstBy(choices, slowestFirst)?.candidate;
