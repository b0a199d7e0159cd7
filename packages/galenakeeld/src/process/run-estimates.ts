import type {ServiceDocument} from '@galenakeel/model/version/service-document.js';
import {createDecayingHistogram, type DecayingHistogram} from './decaying-histogram.js';

const defaultRunMilliseconds = 200;
const generationSamples = 256;
/** Measurements that weigh as much as what the document declares. */
const declaredWeightSamples = 8;
/** New measurements of a kind after which its estimate is worked out again. */
const refreshIntervalSamples = 32;
/** Names of kinds beyond those of the document that are kept apart. */
const maximumUndeclaredKinds = 64;
const minimumSpeedStep = 0.02;
const maximumSpeedCorrection = 0.5;
const declaredSpeedWeight = 0.001;

/**
What is expected of the run time of a kind of task, at speed 1, in milliseconds.
*/
export type RunEstimate = {
	/** Mean without the tail of far longer tasks, by Swanson's rule: 0.3 P10 + 0.4 P50 + 0.3 P90. */
	readonly typical: number;
	readonly percentile10: number;
	readonly median: number;
	readonly percentile90: number;
	readonly percentile99: number;
	/** Measurements behind the estimate; 0 while it is only declared. */
	readonly samples: number;
};

/**
Estimates of run times by kind of task, and of speeds by endpoint.
*/
export type RunEstimates = {
	/** Takes the declared figures of a document as first guesses. */
	readonly declare: (document: Pick<ServiceDocument, 'kinds'>) => void;
	/** Records a measured run time. */
	readonly record: (endpoint: string, declaredSpeed: number, kind: string, durationMilliseconds: number) => void;
	readonly ofKind: (kind: string) => RunEstimate;
	/** The estimate over all kinds. */
	readonly ofService: () => RunEstimate;
	/** Speed of an endpoint; the declared one before the first measurement. */
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
Tells whether an estimate rests on measurements rather than on what the document declares.
*/
export const isMeasured = ({samples}: Pick<RunEstimate, 'samples'>): boolean => samples >= declaredWeightSamples;

const isRefreshDue = ({recorded}: MeasuredKind): boolean => recorded < refreshIntervalSamples || recorded % refreshIntervalSamples === 0;

const clamp = (value: number, bound: number): number => Math.min(bound, Math.max(-bound, value));

/**
Creates estimates without measurements.

Run times are kept as if they had run at speed 1. The logarithm of a speed moves towards that of the kind's median over the measured time by bounded steps, as in the M-estimator of Huber ("Robust Estimation of a Location Parameter", 1964), so that a few far longer tasks do not make an endpoint look slow.

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
		// Without a pull, all speeds could rise together while the run times rise with them.
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
