#!/usr/bin/env node
import process from 'node:process';
import {parseArgs} from 'node:util';
import {checkHistory, type Violation} from '../request/check-history.js';
import {createHistory} from '../request/history.js';
import {createRandom} from '../request/random.js';
import {isProvePoint, ProvePoint, ProveStatus} from '../version/prove-point.js';
import {faultHistories} from './fault-histories.js';

const defaultRounds = 1;
const defaultSeed = 1;

const {values} = parseArgs({options: {point: {type: 'string'}, seed: {type: 'string'}, rounds: {type: 'string'}}});
const wanted = values.point;
if (wanted !== undefined && !isProvePoint(wanted)) {
	throw new Error(`there is no point "${wanted}"; the points are ${Object.values(ProvePoint).join(', ')}`);
}

const seed = Number(values.seed ?? defaultSeed);
const rounds = Number(values.rounds ?? defaultRounds);

type PointResult = {histories: number; operations: number; readonly violations: Violation[]};

const provePoint = async (point: ProvePoint): Promise<PointResult> => {
	const result: PointResult = {histories: 0, operations: 0, violations: []};
	for (let round = 0; round < rounds; round++) {
		for (const [position, runHistory] of faultHistories[point].entries()) {
			const history = createHistory();
			const random = createRandom(seed + (round * 1000) + position);
			const extra = await runHistory(history, random);
			result.histories++;
			result.operations += history.operations.length + history.accepts.length;
			result.violations.push(...checkHistory(history), ...extra);
		}
	}

	return result;
};

const statusOf = ({operations, violations}: PointResult): ProveStatus => {
	if (violations.length > 0) {
		return ProveStatus.Failed;
	}

	return operations > 0 ? ProveStatus.Proved : ProveStatus.Unproved;
};

for (const point of wanted === undefined ? Object.values(ProvePoint) : [wanted]) {
	const result = await provePoint(point);
	const status = statusOf(result);
	for (const violation of result.violations.slice(0, 10)) {
		process.stderr.write(`${point}: ${violation.point}: ${violation.detail}\n`);
	}

	process.stdout.write(`${JSON.stringify({
		point, status, histories: result.histories, operations: result.operations, violations: result.violations.length, seed,
	})}\n`);
	process.exitCode = status === ProveStatus.Failed ? 1 : process.exitCode ?? 0;
}

// Silenced connections would keep the process alive.
process.exit();
