import {performance} from 'node:perf_hooks';

/**
What the work of a queue counts for beside that of others.
*/
export type QueueWeights = {
	/** Notes a job that arrives, with its work in thousandths of a core times milliseconds. */
	readonly noteArrival: (queue: string, work: number) => void;
	/** Weight of the work of a queue, around 1. */
	readonly weightOf: (queue: string) => number;
};

/** Time after which arrivals count for 1/e of their work. */
const memoryMilliseconds = 8000;
const smallestWeight = 0.5;
const largestWeight = 2;

type Offer = {work: number; notedAt: number};

const fadedWork = ({work, notedAt}: Offer, now: number): number => work * Math.exp((notedAt - now) / memoryMilliseconds);

/**
Creates weights by which the queues of a cell count alike, however much work each of them offers: the mean work that is offered over the queue's own. So neither the queue with the largest jobs nor the one with the most jobs takes the room of the others at the crest.

@example
```
const weights = createQueueWeights();
weights.noteArrival('cell-check', 3_000_000);
weights.weightOf('cell-check'); // => 1
```
*/
export const createQueueWeights = (): QueueWeights => {
	const offers = new Map<string, Offer>();

	return {
		noteArrival(queue, work) {
			const now = performance.now();
			const offer = offers.get(queue);
			offers.set(queue, {work: work + (offer ? fadedWork(offer, now) : 0), notedAt: now});
		},
		weightOf(queue) {
			const now = performance.now();
			const offer = offers.get(queue);
			if (!offer) {
				return 1;
			}

			let total = 0;
			for (const one of offers.values()) {
				total += fadedWork(one, now);
			}

			const mean = total / offers.size;
			return Math.min(largestWeight, Math.max(smallestWeight, mean / Math.max(1, fadedWork(offer, now))));
		},
	};
};
