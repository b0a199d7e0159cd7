import type {ServiceDocument} from '@galenakeel/model/version/service-document.js';
import {createDecayingHistogram, type DecayingHistogram} from './decaying-histogram.js';

const defaultRunMilliseconds = 200;
const generationSamples = 256;
/** Number of measurements of a kind from which on its declared run time is ignored. */
const declaredWeightSamples = 8;
/** Number of measurements between two updates of an estimate; until that many have been recorded, each one updates it. */
const refreshIntervalSamples = 32;
/** Number of known kinds from which on further undeclared kinds share one estimate. */
const maximumUndeclaredKinds = 64;
const minimumSpeedStep = 0.02;
const maximumSpeedCorrection = 0.5;
const declaredSpeedWeight = 0.001;

/**
Expected run times of a kind of task on an endpoint of speed 1, in milliseconds.
*/
export type RunEstimate = {
	/** Mean without the influence of outliers, by Swanson's rule: 0.3 P10 + 0.4 P50 + 0.3 P90. */
	readonly typical: number;
	readonly percentile10: number;
	readonly median: number;
	readonly percentile90: number;
	readonly percentile99: number;
	/** Number of measurements used; 0 if the estimate comes only from the declared run time. */
	readonly samples: number;
};

/**
Estimated run times by kind of task, and speeds by endpoint.
*/
export type RunEstimates = {
	/** Sets the declared run times of a document as initial estimates. */
	readonly declare: (document: Pick<ServiceDocument, 'kinds'>) => void;
	/** Records the measured run time of a task, in milliseconds. */
	readonly record: (endpoint: string, declaredSpeed: number, kind: string, durationMilliseconds: number) => void;
	readonly ofKind: (kind: string) => RunEstimate;
	/** Estimate over all kinds of the service. */
	readonly ofService: () => RunEstimate;
	/** Estimated speed of an endpoint; the declared speed until the first measurement. */
	readonly speed: (endpoint: string, declaredSpeed: number) => number;
};

type MeasuredKind = {readonly runs: DecayingHistogram; estimate: RunEstimate; recorded: number};

type MeasuredSpeed = {logarithm: number; speed: number; updates: number};

const declaredEstimate = (milliseconds: number): RunEstimate => ({
	typical: milliseconds, percentile10: milliseconds / 2, median: milliseconds, percentile90: milliseconds * 2, percentile99: milliseconds * 4, samples: 0,
});

const measure = (runs: DecayingHistogram, declaredMilliseconds: number): RunEstimate => {
	const samples = runs.samples();
	if (!isMeasured({samples})) {
		const mean = ((declaredMilliseconds * (declaredWeightSamples - samples)) + (runs.mean() * samples)) / declaredWeightSamples;
		return {...declaredEstimate(mean), samples};
	}

	const percentile10 = runs.percentile(10);
	const median = runs.percentile(50);
	const percentile90 = runs.percentile(90);
	return {
		typical: (0.3 * percentile10) + (0.4 * median) + (0.3 * percentile90),
		percentile10,
		median,
		percentile90,
		percentile99: runs.percentile(99),
		samples,
	};
};

/**
Whether an estimate is computed from measurements alone, without the declared run time.
*/
export const isMeasured = ({samples}: Pick<RunEstimate, 'samples'>): boolean => samples >= declaredWeightSamples;

const isRefreshDue = ({recorded}: MeasuredKind): boolean => recorded < refreshIntervalSamples || recorded % refreshIntervalSamples === 0;

const clamp = (value: number, bound: number): number => Math.min(bound, Math.max(-bound, value));

/**
Creates estimates without measurements.

Run times are normalized to speed 1. A measurement yields the speed as the median run time of the kind divided by the measured time. The logarithm of the estimated speed moves towards that of the measured speed in bounded steps, as in the M-estimator of Huber ("Robust Estimation of a Location Parameter", 1964), so that a few outliers do not make an endpoint look slow.

@example
```
const estimates = createRunEstimates();
estimates.declare(version.document);
estimates.record('10.1.2.3:8080', 1, 'sheet', 87);
estimates.ofKind('sheet').typical;
```
*/
export const createRunEstimates = (): RunEstimates => {
	const byKind = new Map<string, MeasuredKind>();
	const speeds = new Map<string, MeasuredSpeed>();
	const service: MeasuredKind = {runs: createDecayingHistogram(generationSamples), estimate: declaredEstimate(defaultRunMilliseconds), recorded: 0};
	let declared: ServiceDocument['kinds'] = {};

	const declaredMilliseconds = (kind: string): number => declared[kind]?.runMilliseconds ?? defaultRunMilliseconds;

	const kindOf = (kind: string): MeasuredKind => {
		const existing = byKind.get(kind);
		if (existing) {
			return existing;
		}

		if (kind !== '' && !declared[kind] && byKind.size >= maximumUndeclaredKinds) {
			return kindOf('');
		}

		const created = {runs: createDecayingHistogram(generationSamples), estimate: declaredEstimate(declaredMilliseconds(kind)), recorded: 0};
		byKind.set(kind, created);
		return created;
	};

	const speedOf = (endpoint: string, declaredSpeed: number): number => speeds.get(endpoint)?.speed ?? declaredSpeed;

	const updateSpeed = (endpoint: string, declaredSpeed: number, ratio: number): void => {
		const speed = speeds.get(endpoint) ?? {logarithm: Math.log(declaredSpeed), speed: declaredSpeed, updates: 0};
		speed.updates++;
		const step = Math.max(minimumSpeedStep, 1 / (speed.updates + 1));
		speed.logarithm += step * clamp(Math.log(ratio) - speed.logarithm, maximumSpeedCorrection);
		// Speeds and run times are known only up to a common factor. The weight of the declared speed keeps them from drifting together.
		speed.logarithm += declaredSpeedWeight * (Math.log(declaredSpeed) - speed.logarithm);
		speed.speed = Math.exp(speed.logarithm);
		speeds.set(endpoint, speed);
	};

	const recordRun = (measured: MeasuredKind, work: number, declaredRun: number): void => {
		measured.runs.record(work);
		measured.recorded++;
		if (isRefreshDue(measured)) {
			measured.estimate = measure(measured.runs, declaredRun);
		}
	};

	return {
		declare(document) {
			declared = document.kinds;
			for (const [kind, measured] of byKind) {
				measured.estimate = measure(measured.runs, declaredMilliseconds(kind));
			}
		},
		record(endpoint, declaredSpeed, kind, durationMilliseconds) {
			const measured = kindOf(kind);
			const duration = Math.max(1, durationMilliseconds);
			if (measured.recorded >= declaredWeightSamples) {
				updateSpeed(endpoint, declaredSpeed, measured.estimate.median / duration);
			}

			const work = duration * speedOf(endpoint, declaredSpeed);
			recordRun(measured, work, declaredMilliseconds(kind));
			recordRun(service, work, defaultRunMilliseconds);
		},
		ofKind: kind => kindOf(kind).estimate,
		ofService: () => service.estimate,
		speed: speedOf,
	};
};
