import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {RecordStepKind} from '@galenakeel/model/process/request-record.js';
import {Outcome} from '@galenakeel/model/request/outcome.js';
import {install} from '@sinonjs/fake-timers';
import {LogEvent} from '../log-event.js';
import {createLog, LogLevel} from '../log.js';
import {createPercentiles, type Percentiles} from '../percentiles.js';
import {encodeMetrics, MetricType} from '../prometheus-text.js';
import {createRequestRecords, type RequestRecords} from '../request-records.js';

const secret = 'hunter2';
const minuteMilliseconds = 60_000;

type ModuleWorld = {records: RequestRecords; percentiles: Percentiles; line: string};

Given('request records limited to {int} entries', function (this: ModuleWorld, entries: number) {
	this.records = createRequestRecords('entry-1', {entries, bytes: 1_000_000});
});

When('{int} requests are recorded with {int} steps each', function (this: ModuleWorld, requests: number, steps: number) {
	for (let request = 1; request <= requests; request++) {
		const observer = this.records.open(String(request), 'paysheet');
		for (let step = 0; step < steps; step++) {
			observer.note({kind: RecordStepKind.Sent, endpoint: `10.0.0.1:${step}`});
		}

		observer.end({outcome: Outcome.Complete});
	}
});

Then('the records of the requests {string} are kept', function (this: ModuleWorld, kept: string) {
	const {records} = this;
	const found = ['1', '2', '3', '4', '5'].filter(identifier => records.find(identifier) !== undefined); // eslint-disable-line unicorn/prefer-array-some, unicorn/no-array-callback-reference -- `records` is no array
	assert.deepEqual(found, kept.split(', '));
});

Then('no record has more than {int} steps', function (this: ModuleWorld, steps: number) {
	assert.ok(this.records.find('5')!.steps.length <= steps);
});

Given('percentiles for at most {int} services', function (this: ModuleWorld, services: number) {
	this.percentiles = createPercentiles('run_seconds', 'Run time.', {services});
});

When('durations of {int} to {int} ms are recorded for the services {string}', function (this: ModuleWorld, first: number, last: number, services: string) {
	for (const service of services.split(', ')) {
		for (let milliseconds = first; milliseconds <= last; milliseconds++) {
			this.percentiles.record(service, milliseconds);
		}
	}
});

When('{int} minutes pass and a duration of {int} ms is recorded for {string}', function (this: ModuleWorld, minutes: number, milliseconds: number, service: string) {
	const clock = install({now: performance.now()});
	try {
		clock.tick(minutes * minuteMilliseconds);
		this.percentiles.record(service, milliseconds);
		this.percentiles.family();
	} finally {
		clock.uninstall();
	}
});

Then('the services with percentiles are {string}', function (this: ModuleWorld, services: string) {
	assert.deepEqual([...new Set(this.percentiles.family().samples.map(({labels}) => labels.service))], services.split(', '));
});

Then('the quantile {float} of {string} is {float} s within a percent', function (this: ModuleWorld, quantile: number, service: string, seconds: number) {
	const sample = this.percentiles.family().samples.find(({labels}) => labels.service === service && labels.quantile === String(quantile))!;
	assert.ok(Math.abs(sample.value - seconds) <= seconds / 100, `${sample.value} s`);
});

Then('a label value with a quote and a backslash is encoded with both escaped', () => {
	const text = encodeMetrics([{
		name: 'm', help: 'M.', type: MetricType.Gauge, samples: [{labels: {service: String.raw`a"b\c`}, value: 1}],
	}]);
	assert.ok(text.includes(String.raw`m{service="a\"b\\c"} 1`), text);
});

When('a line is logged with credentials at its top level, in its headers and in a request\'s headers', function (this: ModuleWorld) {
	const log = createLog(LogLevel.Info, {instance: 'entry-1'}, {
		write: (line: string) => {
			this.line = line;
		},
	});
	const credentials = {
		authorization: secret, cookie: secret, 'set-cookie': secret, 'proxy-authorization': secret,
	};
	log.info({
		event: LogEvent.RequestIncomplete, ...credentials, headers: credentials, request: {headers: credentials},
	}, 'a request');
});

Then('the line has the event {string} and no credentials', function (this: ModuleWorld, event: string) {
	assert.equal((JSON.parse(this.line) as {event: string}).event, event);
	assert.ok(!this.line.includes(secret), this.line);
});
