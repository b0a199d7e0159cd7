#!/usr/bin/env node
import process from 'node:process';
import {parseArgs} from 'node:util';
import PQueue from 'p-queue';
import {isProvePoint, ProvePoint} from '../version/prove-point.js';
import {summarizePoint} from '../version/point-summary.js';
import {faultHistories} from './fault-histories.js';
import {runHistory, type HistoryRun} from './run-history.js';

const defaultRounds = '1';
const defaultSeed = '1';
const defaultConcurrency = '3';
const shownViolations = 10;
// Distance between the seeds of two rounds; within a round, consecutive histories have consecutive seeds.
const seedsOfRound = 1000;

const {values} = parseArgs({
	options: {
		point: {type: 'string'},
		history: {type: 'string'},
		seed: {type: 'string', default: defaultSeed},
		rounds: {type: 'string', default: defaultRounds},
		concurrency: {type: 'string', default: defaultConcurrency},
	},
});
const selectedPoint = values.point;
if (selectedPoint !== undefined && !isProvePoint(selectedPoint)) {
	throw new Error(`unknown point "${selectedPoint}"; known points: ${Object.values(ProvePoint).join(', ')}`);
}

const seed = Number(values.seed);
const rounds = Number(values.rounds);
const queue = new PQueue({concurrency: Number(values.concurrency)});

/**
Queues the histories of a point. The seed of each depends only on its round and position, so that it can be rerun alone.
*/
const startPoint = (point: ProvePoint): ReadonlyArray<Promise<HistoryRun>> => Array.from({length: rounds}, (_, round) => faultHistories[point]
	.map((history, position) => ({history, position}))
	.filter(({position}) => values.history === undefined || position + 1 === Number(values.history))
	.map(async ({history, position}) => queue.add(async () => runHistory(history, {point, position, seed: seed + (round * seedsOfRound) + position})))).flat();

const points = selectedPoint === undefined ? Object.values(ProvePoint) : [selectedPoint];
const started = points.map(point => ({point, runs: startPoint(point)}));
process.exitCode = 0;
for (const {point, runs} of started) {
	const results = await Promise.all(runs);
	for (const {command, violations} of results) {
		for (const violation of violations.slice(0, shownViolations)) {
			process.stderr.write(`${command}: ${violation.point}: ${violation.detail}\n`);
		}
	}

	const summary = summarizePoint(point, seed, results);
	process.stdout.write(`${JSON.stringify(summary)}\n`);
	process.exitCode = summary.violations > 0 ? 1 : process.exitCode;
}
