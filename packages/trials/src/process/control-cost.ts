import process from 'node:process';
import {parseArgs} from 'node:util';
import {costTrials, runCostTrial} from './control-cost-trials.js';

const significantDigits = 4;

const round = (_: string, value: unknown): unknown => typeof value === 'number' ? Number(value.toPrecision(significantDigits)) : value;

const {values} = parseArgs({options: {dimension: {type: 'string'}}});
for (const plan of costTrials) {
	if (values.dimension === undefined || values.dimension === String(plan.dimension)) {
		process.stdout.write(`${JSON.stringify(await runCostTrial(plan), round)}\n`);
	}
}
