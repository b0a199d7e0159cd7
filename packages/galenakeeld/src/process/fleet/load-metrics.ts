import {createCounters} from '../counters.js';
import {MetricType, type MetricFamily, type MetricSample} from '../prometheus-text.js';
import {CellWork} from '../cells/work-times.js';
import type {DaemonLoadReport} from './daemon-load.js';
import type {Traffic} from './link-traffic.js';

/**
Metrics of a daemon's load.
*/
export type LoadMetrics = {
	readonly record: (report: DaemonLoadReport) => void;
	readonly families: () => readonly MetricFamily[];
};

const millisecondsPerSecond = 1000;
const sentLabel = 'sent';
const receivedLabel = 'received';

const gauge = (name: string, help: string, samples: readonly MetricSample[]): MetricFamily => ({
	name, help, type: MetricType.Gauge, samples,
});

const describeGauges = ({loopDelay, heapBytes, cells}: DaemonLoadReport): readonly MetricFamily[] => [
	gauge('galenakeel_event_loop_delay_seconds', 'Delay of timers over the last second.', [
		{labels: {statistic: 'mean'}, value: loopDelay.meanMilliseconds / millisecondsPerSecond},
		{labels: {statistic: 'maximum'}, value: loopDelay.maximumMilliseconds / millisecondsPerSecond},
	]),
	gauge('galenakeel_heap_bytes', 'Heap in use.', [{labels: {}, value: heapBytes}]),
	gauge('galenakeel_cell_jobs', 'Jobs of owned cells.', cells.flatMap(({cell, jobs, jobsWaiting}) => [
		{labels: {cell, state: 'waiting'}, value: jobsWaiting},
		{labels: {cell, state: 'started'}, value: jobs - jobsWaiting},
	])),
	gauge('galenakeel_cell_tasks', 'Tasks of owned cells that have not ended.', cells.flatMap(({cell, tasksWaiting, tasksActive}) => [
		{labels: {cell, state: 'waiting'}, value: tasksWaiting},
		{labels: {cell, state: 'active'}, value: tasksActive},
	])),
	gauge('galenakeel_cell_endpoints', 'Endpoints of owned cells.', cells.flatMap(({cell, endpoints, endpointsReachable}) => [
		{labels: {cell, state: 'reachable'}, value: endpointsReachable},
		{labels: {cell, state: 'unreachable'}, value: endpoints - endpointsReachable},
	])),
];

/**
Creates the metrics of a load that has not been reported yet.

@example
```
const metrics = createLoadMetrics();
metrics.record(report);
encodeMetrics(metrics.families());
```
*/
export const createLoadMetrics = (): LoadMetrics => {
	const processor = createCounters('galenakeel_processor_seconds_total', 'Processor time of the process.', []);
	const busy = createCounters('galenakeel_event_loop_busy_seconds_total', 'Time in which the event loop was not waiting for events.', []);
	const frames = createCounters('galenakeel_peer_frames_total', 'Frames exchanged with other daemons.', ['direction']);
	const messages = createCounters('galenakeel_peer_messages_total', 'Messages exchanged with other daemons.', ['direction', 'kind']);
	const bytes = createCounters('galenakeel_peer_bytes_total', 'Encoded frames exchanged with other daemons.', ['direction']);
	const messageBytes = createCounters('galenakeel_peer_message_bytes_total', 'Encoded messages sent to other daemons.', ['kind']);
	const coding = createCounters('galenakeel_peer_coding_seconds_total', 'Time spent on encoding and decoding frames.', ['direction']);
	const streams = createCounters('galenakeel_peer_streams_total', 'Streams between daemons that were opened, and that ended or could not be opened.', ['event']);
	const calls = createCounters('galenakeel_endpoint_calls_total', 'Calls to endpoints.', ['call']);
	const workSeconds = createCounters('galenakeel_cell_work_seconds_total', 'Time spent on the work of owned cells.', ['cell', 'work']);
	const workCount = createCounters('galenakeel_cell_work_total', 'How often the work of owned cells was done.', ['cell', 'work']);
	let latest: DaemonLoadReport | undefined;

	const addTraffic = (direction: string, traffic: Traffic): void => {
		frames.add([direction], traffic.frames);
		messages.add([direction, 'heartbeat'], traffic.heartbeats);
		messages.add([direction, 'other'], traffic.messages - traffic.heartbeats);
		bytes.add([direction], traffic.bytes);
		coding.add([direction], traffic.codingMilliseconds / millisecondsPerSecond);
	};

	return {
		record(report) {
			latest = report;
			processor.add([], report.processorMilliseconds / millisecondsPerSecond);
			busy.add([], report.busyMilliseconds / millisecondsPerSecond);
			addTraffic(sentLabel, report.sent);
			addTraffic(receivedLabel, report.received);
			for (const [kind, count] of Object.entries(report.sentBytes)) {
				messageBytes.add([kind], count);
			}

			streams.add(['opened'], report.streams.opened);
			streams.add(['broken'], report.streams.broken);
			calls.add(['start'], report.calls.starts);
			calls.add(['stop'], report.calls.stops);
			calls.add(['poll'], report.calls.polls);
			for (const {cell, work} of report.cells) {
				for (const kind of Object.values(CellWork)) {
					workSeconds.add([cell, kind], work[kind].milliseconds / millisecondsPerSecond);
					workCount.add([cell, kind], work[kind].count);
				}
			}
		},
		families: () => [
			...[processor, busy, frames, messages, bytes, messageBytes, coding, streams, calls, workSeconds, workCount].map(counters => counters.family()),
			...latest ? describeGauges(latest) : [],
		],
	};
};
