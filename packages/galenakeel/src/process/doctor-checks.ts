import {performance} from 'node:perf_hooks';
import {parseJson} from '@galenakeel/model/connection/json.js';
import {ListedState, type ListedInstance, type Platform} from '@galenakeel/model/connection/platform-client.js';
import type {DaemonStatus} from '@galenakeel/model/process/daemon-status.js';
import {detailOf, isFault, remedies} from '@galenakeel/model/request/fault.js';
import {readCatalogueVersion, readDocuments} from '@galenakeel/model/version/document-store.js';
import {findSharedAddresses} from '@galenakeel/model/version/shared-addresses.js';
import {callDaemon} from '../connection/daemon-call.js';

/**
The result of one check of the `doctor` command.
*/
export enum Verdict {
	/** No problem was found. */
	Good = 'good',
	/** Nothing is broken, but the problem should be fixed. */
	Warning = 'warning',
	/** The subject is faulty or unreachable. */
	Bad = 'bad',
	/** The check could not be made. */
	NotChecked = 'not checked',
}

/**
A checked subject with the result of its check.
*/
export type Finding = {
	readonly subject: string;
	readonly verdict: Verdict;
	readonly detail: string;
	/** How to fix the problem; empty when there is nothing to fix or no remedy is known. */
	readonly remedy: string;
};

const createGoodFinding = (subject: string, detail: string): Finding => ({
	subject, verdict: Verdict.Good, detail, remedy: '',
});

const createBadFinding = (subject: string, error: unknown): Finding => ({
	subject,
	verdict: Verdict.Bad,
	detail: detailOf(error),
	remedy: isFault(error) ? remedies[error.name] : '',
});

/** A platform write takes several milliseconds; a read that takes this long delays documents and claims. */
const slowPlatformMilliseconds = 250;

/** The `Date` header has a resolution of one second, so smaller differences can't be detected reliably. */
const clockToleranceMilliseconds = 2000;

/**
Runs a check and returns a finding: good with the returned detail, or bad with the detail and remedy of the error thrown.

@example
```
const finding = await checkThat('daemon settings', async () => { parseDaemonSettings(text, path); return 'entry-a1.jsonc is valid'; });
```
*/
export const runCheck = async (subject: string, check: () => Promise<string>): Promise<Finding> => {
	try {
		return createGoodFinding(subject, await check());
	} catch (error) {
		return createBadFinding(subject, error);
	}
};

const checkPlatform = async (platform: Platform): Promise<Finding> => {
	const startedAt = performance.now();
	const finding = await runCheck('platform', async () => `answers; the catalogue is at version ${await readCatalogueVersion(platform)}`);
	const elapsedMilliseconds = performance.now() - startedAt;
	if (finding.verdict === Verdict.Good && elapsedMilliseconds > slowPlatformMilliseconds) {
		return {
			...finding, verdict: Verdict.Warning, detail: `a read took ${elapsedMilliseconds.toFixed(0)} ms`, remedy: 'Ask the platform\'s operators; documents and callers\' identifiers need it.',
		};
	}

	return finding;
};

const checkDocuments = async (platform: Platform): Promise<readonly Finding[]> => {
	const documents = await readDocuments(platform);
	if (documents.length === 0) {
		return [{
			subject: 'documents',
			verdict: Verdict.Warning,
			detail: 'no document is accepted, so no service is served',
			remedy: 'Create one with "galenakeel document edit SERVICE".',
		}];
	}

	const all = documents.map(({document}) => document);
	const shared = all.flatMap((document, position) => findSharedAddresses(document, all.slice(0, position)).map(place => ({service: document.service, ...place})));
	return [
		createGoodFinding('documents', `${documents.length} accepted, all valid`),
		...shared.map(({service, address, otherService}): Finding => ({
			subject: 'documents',
			verdict: Verdict.Warning,
			detail: `the endpoint ${address} is in the documents of "${service}" and "${otherService}"`,
			remedy: `Remove it from one of them: "galenakeel document edit ${service}".`,
		})),
	];
};

const checkClock = (subject: string, date: string | undefined, callTimes: {readonly before: number; readonly after: number}): Finding => {
	const remoteTime = Date.parse(date ?? '');
	if (Number.isNaN(remoteTime)) {
		return {
			subject,
			verdict: Verdict.NotChecked,
			detail: 'the answer carries no time',
			remedy: '',
		};
	}

	const ahead = remoteTime - callTimes.after;
	const behind = callTimes.before - remoteTime;
	const difference = Math.max(ahead, behind);
	if (difference <= clockToleranceMilliseconds) {
		return createGoodFinding(subject, 'agrees with this machine\'s within 2 s');
	}

	return {
		subject,
		verdict: Verdict.Warning,
		detail: `is ${(difference / 1000).toFixed(0)} s ${ahead > behind ? 'ahead of' : 'behind'} this machine's`,
		remedy: 'Check the time service (NTP) on both machines; until it is fixed, times in logs, traces and histories can\'t be compared between them.',
	};
};

const checkPeers = (status: DaemonStatus, live: ReadonlySet<string>): Finding => {
	const subject = `peers of ${status.instance}`;
	const unreachablePeers = status.peers.filter(({instance, isReachable}) => live.has(instance) && !isReachable).map(({instance}) => instance);
	if (unreachablePeers.length === 0) {
		return createGoodFinding(subject, `hears ${status.peers.filter(({isReachable}) => isReachable).length} peers`);
	}

	return {
		subject,
		verdict: Verdict.Bad,
		detail: `does not hear ${unreachablePeers.join(', ')}`,
		remedy: 'Check the network between the peers\' ports ("listen.peers" in the daemons\' settings); requests for jobs held by an unreachable peer are answered "outcome unknown".',
	};
};

const checkCatalogue = (status: DaemonStatus, version: number): Finding => {
	const subject = `documents on ${status.instance}`;
	if (status.catalogueVersion >= version) {
		return createGoodFinding(subject, `catalogue version ${status.catalogueVersion} is in force`);
	}

	return {
		subject,
		verdict: Verdict.Bad,
		detail: `catalogue version ${status.catalogueVersion} is in force, ${version} is accepted`,
		remedy: 'If it does not catch up within a few seconds, search its log for "platform-unavailable".',
	};
};

type KnownFleet = {
	/** Names of the entry instances that the platform lists as live. */
	readonly live: ReadonlySet<string>;
	readonly catalogueVersion: number;
	readonly callMilliseconds: number;
};

const checkInstance = async (listed: ListedInstance, known: KnownFleet): Promise<readonly Finding[]> => {
	try {
		const before = Date.now();
		const reply = await callDaemon(listed.operators ?? '', {method: 'GET', path: '/v1/status'}, known.callMilliseconds);
		const after = Date.now();
		const status = parseJson<DaemonStatus>(reply.text);
		return [
			createGoodFinding(listed.name, `answers, and is ${status.state}`),
			checkClock(`clock of ${listed.name}`, reply.headers.date, {before, after}),
			checkPeers(status, known.live),
			checkCatalogue(status, known.catalogueVersion),
		];
	} catch (error) {
		return [createBadFinding(listed.name, error)];
	}
};

/**
Checks the platform, its instance list, the documents, and every live entry instance with its peers and clock.

@example
```
const findings = await examineFleet(platform, 2000);
```
*/
export const checkFleet = async (platform: Platform, callMilliseconds: number): Promise<readonly Finding[]> => {
	const platformFinding = await checkPlatform(platform);
	if (platformFinding.verdict === Verdict.Bad) {
		return [platformFinding, {
			subject: 'instances',
			verdict: Verdict.NotChecked,
			detail: 'only the platform lists them',
			remedy: 'Instances continue to serve the documents in force; check them with "galenakeel status --instance ADDRESS", with the address of an operators\' port.',
		}];
	}

	try {
		const [listed, catalogueVersion, documents] = await Promise.all([platform.listInstances(), readCatalogueVersion(platform), checkDocuments(platform)]);
		const entries = listed.filter(({operators, state}) => operators !== undefined && state === ListedState.Live);
		const live = new Set(entries.map(({name}) => name));
		const instances = await Promise.all(entries.map(async entry => checkInstance(entry, {live, catalogueVersion, callMilliseconds})));
		const list: Finding = entries.length > 0
			? createGoodFinding('instance list', `${entries.length} live entry instances`)
			: {
				subject: 'instance list',
				verdict: Verdict.Bad,
				detail: 'the platform lists no live entry instance',
				remedy: 'Start daemons, and check that the platform lists them with the role "entry".',
			};
		return [platformFinding, list, ...documents, ...instances.flat()];
	} catch (error) {
		return [platformFinding, createBadFinding('documents', error)];
	}
};
