/**
Metric types of the Prometheus text format.
*/
export enum MetricType {
	/** Only increases during the life of the process. */
	Counter = 'counter',
	/** Can increase and decrease. */
	Gauge = 'gauge',
	/** Quantiles, with the sum and count of all observations. */
	Summary = 'summary',
}

/**
One sample of a metric.
*/
export type MetricSample = {
	/** Appended to the name of the family, such as `_sum` in a summary. */
	readonly suffix?: string;
	readonly labels: Readonly<Record<string, string>>;
	readonly value: number;
};

/**
A metric with all its samples.
*/
export type MetricFamily = {
	readonly name: string;
	readonly help: string;
	readonly type: MetricType;
	readonly samples: readonly MetricSample[];
};

const escapeLabel = (value: string): string => value.replaceAll('\\', '\\\\').replaceAll('"', String.raw`\"`).replaceAll('\n', String.raw`\n`);

const encodeLabels = (labels: Readonly<Record<string, string>>): string => {
	const pairs = Object.entries(labels).map(([name, value]) => `${name}="${escapeLabel(value)}"`);
	return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
};

const encodeFamily = ({name, help, type, samples}: MetricFamily): string => [
	`# HELP ${name} ${help}`,
	`# TYPE ${name} ${type}`,
	...samples.map(({suffix = '', labels, value}) => `${name}${suffix}${encodeLabels(labels)} ${value}`),
].join('\n');

/**
Encodes metrics in the Prometheus text format, version 0.0.4.

@example
```
encodeMetrics([{name: 'starts_total', help: 'Starts.', type: MetricType.Counter, samples: [{labels: {}, value: 3}]}]);
```
*/
export const encodeMetrics = (families: readonly MetricFamily[]): string =>
	`${families.map(family => encodeFamily(family)).join('\n')}\n`;

const quantileDigits = 4;

/**
Converts a percentile to the value of the label `quantile`.

@example
```
quantileLabel(99.9); // => '0.999'
```
*/
export const quantileLabel = (percentile: number): string => String(Number((percentile / 100).toFixed(quantileDigits)));
