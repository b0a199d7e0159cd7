import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {loadConfiguration, runCucumber} from '@cucumber/cucumber/api';
import {TestStepResultStatus, type Envelope} from '@cucumber/messages';
import {parseKnownReds} from '../version/known-reds.js';

const knownRedsPath = 'KNOWN-RED.txt';

type ScenarioResult = {readonly name: string; readonly isPassed: boolean; readonly message: string};

/**
Collects the results of scenarios from the messages of a run.
*/
const createResults = (): {readonly record: (envelope: Envelope) => void; readonly all: () => readonly ScenarioResult[]} => {
	const names = new Map<string, string>();
	const caseNames = new Map<string, string>();
	const worst = new Map<string, {status: TestStepResultStatus; message: string}>();
	const results: ScenarioResult[] = [];
	return {
		record({pickle, testCase, testCaseStarted, testStepFinished, testCaseFinished}) {
			if (pickle) {
				names.set(pickle.id, pickle.name);
			} else if (testCase) {
				caseNames.set(testCase.id, names.get(testCase.pickleId) ?? testCase.pickleId);
			} else if (testCaseStarted) {
				worst.set(testCaseStarted.id, {status: TestStepResultStatus.PASSED, message: ''});
				names.set(testCaseStarted.id, caseNames.get(testCaseStarted.testCaseId) ?? '');
			} else if (testStepFinished && testStepFinished.testStepResult.status !== TestStepResultStatus.PASSED) {
				const before = worst.get(testStepFinished.testCaseStartedId)!;
				const {status, message = ''} = testStepFinished.testStepResult;
				worst.set(testStepFinished.testCaseStartedId, before.status === TestStepResultStatus.PASSED ? {status, message} : before);
			} else if (testCaseFinished) {
				const {status, message} = worst.get(testCaseFinished.testCaseStartedId)!;
				results.push({name: names.get(testCaseFinished.testCaseStartedId)!, isPassed: status === TestStepResultStatus.PASSED, message: message === '' ? status : message});
			}
		},
		all: () => results,
	};
};

const say = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

const readKnownReds = async (): Promise<ReadonlySet<string>> => {
	try {
		return parseKnownReds(await readFile(knownRedsPath, 'utf8'));
	} catch {
		return new Set();
	}
};

const paths = process.argv.slice(2);
const {runConfiguration} = await loadConfiguration();
if (paths.length > 0) {
	// Paths that are given to `loadConfiguration` are added to those of the file.
	runConfiguration.sources.paths = paths;
}

const knownReds = await readKnownReds();
const results = createResults();
const {success} = await runCucumber(runConfiguration, undefined, results.record);
const failed = results.all().filter(({isPassed}) => !isPassed);
const unexpected = failed.filter(({name}) => !knownReds.has(name));
for (const {name, message} of failed) {
	say(knownReds.has(name) ? `known red: ${name}` : `failed: ${name}\n${message}`);
}

const passed = results.all().length - failed.length;
const isEmpty = results.all().length === 0;
say(`${passed} passed, ${unexpected.length} failed`);
process.exitCode = unexpected.length > 0 || isEmpty || (!success && failed.length === 0) ? 1 : 0;
