import {MetricType, type MetricFamily} from './prometheus-text.js';

/**
A counter metric with one count for each combination of label values.
*/
export type Counters = {
	readonly add: (values: readonly string[], amount?: number) => void;
	readonly family: () => MetricFamily;
};

type Count = {readonly values: readonly string[]; total: number};

/**
Creates a counter metric without samples. A combination of label values gets its sample when it is first added.

@param labels Names of the labels, in the order of the values that `add` takes.

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
