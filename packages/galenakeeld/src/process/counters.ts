import {MetricType, type MetricFamily} from './prometheus-text.js';

/**
A counter for each combination of label values.
*/
export type Counters = {
	readonly add: (values: readonly string[], amount?: number) => void;
	readonly family: () => MetricFamily;
};

type Count = {readonly values: readonly string[]; total: number};

/**
Creates counters that stand at zero.

@example
```
const starts = createCounters('galenakeel_task_starts_total', 'Tasks sent to endpoints.', ['service']);
starts.add(['paysheet']);
```
*/
export const createCounters = (name: string, help: string, labels: readonly string[]): Counters => {
	const counts = new Map<string, Count>();
	return {
		add(values, amount = 1) {
			const key = values.length === 1 ? values[0]! : values.join('\n');
			const count = counts.get(key);
			if (count) {
				count.total += amount;
			} else {
				counts.set(key, {values, total: amount});
			}
		},
		family: () => ({
			name,
			help,
			type: MetricType.Counter,
			samples: [...counts.values()].map(({values, total}) => ({
				labels: Object.fromEntries(labels.map((label, position) => [label, values[position] ?? ''])), value: total,
			})),
		}),
	};
};
