import type {ServiceDocument} from '@galenakeel/model/version/service-document.js';

const smoothing = 0.1;
const undeclaredMilliseconds = 200;

/**
Estimates of run times, by kind of task, corrected for the speed of the endpoint.
*/
export type RunEstimates = {
	/** Records a measured run time. */
	readonly record: (endpoint: string, kind: string, durationMilliseconds: number) => void;
	/** Expected run time at speed 1, in milliseconds. */
	readonly expected: (document: ServiceDocument, kind: string) => number;
	/** Speed of an endpoint relative to the mean; the declared one before the first measurement. */
	readonly speed: (endpoint: string, declared: number) => number;
	/** Mean run time over all kinds, in milliseconds. */
	readonly mean: () => number;
};

/**
Creates estimates that start from what a document declares.
*/
export const createRunEstimates = (): RunEstimates => {
	const byKind = new Map<string, number>();
	const speeds = new Map<string, number>();
	let mean = undeclaredMilliseconds;
	return {
		record(endpoint, kind, durationMilliseconds) {
			const before = byKind.get(kind) ?? durationMilliseconds;
			byKind.set(kind, before + (smoothing * (durationMilliseconds - before)));
			mean += smoothing * (durationMilliseconds - mean);
			const speed = speeds.get(endpoint) ?? 1;
			speeds.set(endpoint, speed + (smoothing * ((before / Math.max(1, durationMilliseconds)) - speed)));
		},
		expected: (document, kind) => byKind.get(kind) ?? document.kinds[kind]?.runMilliseconds ?? undeclaredMilliseconds,
		speed: (endpoint, declared) => speeds.get(endpoint) ?? declared,
		mean: () => mean,
	};
};
