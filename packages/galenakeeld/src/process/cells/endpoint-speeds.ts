/**
Learned run-time factors: the run time of tasks at each endpoint as a multiple of their estimates.
*/
export type EndpointSpeeds = {
	/** Records a successful run. */
	readonly record: (endpoint: string, kind: string, estimateMilliseconds: number, runMilliseconds: number) => void;
	/** Expected run time over estimate; not below the lower bound for single runs. */
	readonly factorOf: (endpoint: string, kind: string) => number;
	readonly forget: (endpoint: string) => void;
	/** Learned factor of each kind. */
	readonly kindFactors: () => Readonly<Record<string, number>>;
};

type Average = {logarithm: number; weight: number};

/** Smoothing factor of the moving average of an endpoint. */
const endpointGain = 0.2;
const kindGain = 0.04;
/** Weight of the average of the kind, in runs of the endpoint. */
const kindWeight = 2;
const maximumWeight = 10;
/** Bounds for the logarithm of the ratio of a single run, since estimates may be wrong by a factor of several. */
const minimumLogarithm = -2;
const maximumLogarithm = 2.1;

const updateAverage = (average: Average, logarithm: number, gain: number): void => {
	const step = Math.max(gain, 1 / (average.weight + 1));
	average.logarithm += step * (logarithm - average.logarithm);
	average.weight = Math.min(maximumWeight, average.weight + 1);
};

const getOrCreateAverage = (averages: Map<string, Average>, key: string): Average => {
	const average = averages.get(key) ?? {logarithm: 0, weight: 0};
	averages.set(key, average);
	return average;
};

/** Weight of a factor learned by another owner, in runs. */
const seedWeight = 5;
const factorDigits = 2;

/**
Creates the factors without data on single endpoints: an endpoint starts with the factor of its kind, and a kind without a seed with 1.

@param seed Factors of kinds that owners of other cells, or an earlier owner, have learned.

@example
```
const speeds = createEndpointSpeeds();
speeds.record('i-7f3a', 'b', 50, 120);
speeds.factorOf('i-7f3a', 'b');
```
*/
export const createEndpointSpeeds = (seed: Readonly<Record<string, number>> = {}): EndpointSpeeds => {
	const endpoints = new Map<string, Average>();
	const kinds = new Map<string, Average>(Object.entries(seed).map(([kind, factor]) => [kind, {logarithm: Math.log(factor), weight: seedWeight}]));
	return {
		record(endpoint, kind, estimateMilliseconds, runMilliseconds) {
			const ratio = Math.log(Math.max(1, runMilliseconds) / Math.max(1, estimateMilliseconds));
			const logarithm = Math.min(maximumLogarithm, Math.max(minimumLogarithm, ratio));
			updateAverage(getOrCreateAverage(endpoints, endpoint), logarithm, endpointGain);
			updateAverage(getOrCreateAverage(kinds, kind), logarithm, kindGain);
		},
		factorOf(endpoint, kind) {
			const own = endpoints.get(endpoint) ?? {logarithm: 0, weight: 0};
			const like = kinds.get(kind)?.logarithm ?? 0;
			return Math.exp(((own.logarithm * own.weight) + (like * kindWeight)) / (own.weight + kindWeight));
		},
		forget(endpoint) {
			endpoints.delete(endpoint);
		},
		kindFactors: () => Object.fromEntries([...kinds].map(([kind, {logarithm}]) => [kind, Number(Math.exp(logarithm).toFixed(factorDigits))])),
	};
};
