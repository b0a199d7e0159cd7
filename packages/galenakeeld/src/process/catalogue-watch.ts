import {setTimeout as sleep} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import type {Platform} from '@galenakeel/model/connection/platform-client.js';
import {createDeferred} from '@galenakeel/model/request/deferred.js';
import {detailOf} from '@galenakeel/model/request/fault.js';
import {readCatalogue} from '@galenakeel/model/version/catalogue-read.js';
import {parseServiceDocument} from '@galenakeel/model/version/service-document.js';
import type {DocumentCatalogue} from '../version/document-catalogue.js';
import {LogEvent} from './log-event.js';
import type {Log} from './log.js';
import type {Membership, Peer} from './membership.js';
import type {PeerDirectory} from './peer-directory.js';
import type {SharedTurns} from './shared-turns.js';

const pollIntervalMilliseconds = 20;
const catchUpLimitMilliseconds = 1500;

/**
Options of the catalogue watch.
*/
export type CatalogueWatchOptions = {
	readonly platform: Platform;
	readonly catalogue: DocumentCatalogue;
	readonly membership: Membership;
	readonly directory: PeerDirectory;
	readonly turns: SharedTurns;
	/** Pause after a failed fetch from a peer, in milliseconds. */
	readonly retryMilliseconds: number;
	readonly peerCallMilliseconds: number;
	readonly log: Log;
	/** Called after a higher catalogue version was installed. */
	readonly onNewCatalogue: () => void;
};

/**
Keeps the local catalogue at the highest version known to the platform or to a peer.
*/
export type CatalogueWatch = {
	/** Reads the platform's catalogue in this instance's turns until the process ends. Until the documents are known, it reads in every time slot. */
	readonly runPlatformReads: () => Promise<never>;
	/** Fetches newer documents from peers after each `wake`, until the process ends. */
	readonly runPeerFetches: () => Promise<never>;
	/** Signals that a peer may have a higher catalogue version. */
	readonly wake: () => void;
	/** Resolves once the documents have been read from the platform or a peer, and either every listed peer is reachable and none has a higher catalogue version, or the time limit for this has passed. */
	readonly untilCaughtUp: () => Promise<void>;
};

/**
Creates the watch; it reads nothing until its `run` functions are called.

@example
```
const watch = createCatalogueWatch(options);
void watch.runPlatformReads();
void watch.runPeerFetches();
await watch.untilCaughtUp();
```
*/
export const createCatalogueWatch = (options: CatalogueWatchOptions): CatalogueWatch => {
	const {catalogue, membership, directory, log} = options;
	const firstRead = createDeferred<void>();
	let isKnown = false;
	let wakeSignal = createDeferred<void>();

	const handleInstall = (before: number): void => {
		isKnown = true;
		firstRead.resolve();
		if (catalogue.catalogueVersion() > before) {
			options.onNewCatalogue();
		}
	};

	const readPlatform = async (): Promise<void> => {
		const before = catalogue.catalogueVersion();
		try {
			const {documents, catalogueVersion} = await readCatalogue(options.platform, before);
			catalogue.install(documents, catalogueVersion);
			handleInstall(before);
		} catch (error) {
			log.warn({event: LogEvent.PlatformUnavailable, detail: detailOf(error)}, 'the catalogue could not be read from the platform; the documents in force are kept');
		}
	};

	const findPeerAhead = (): Peer | undefined => {
		const [highest] = membership.peers().filter(({isReachable}) => isReachable).toSorted((first, second) => second.catalogueVersion - first.catalogueVersion);
		return highest && highest.catalogueVersion > catalogue.catalogueVersion() ? highest : undefined;
	};

	const fetchFrom = async (peer: Peer): Promise<void> => {
		const before = catalogue.catalogueVersion();
		try {
			const reply = await directory.callsOf(peer.instance)!.fetchDocuments(before, options.peerCallMilliseconds);
			const documents = reply.documents.map(({service, version, text}) => ({version, text, document: parseServiceDocument(text, `document "${service}"`)}));
			catalogue.install(documents, reply.catalogueVersion);
			handleInstall(before);
		} catch (error) {
			log.warn({event: LogEvent.PeerUnavailable, peer: peer.instance, detail: detailOf(error)}, 'newer documents could not be fetched from a peer; the fetch is retried');
			await sleep(options.retryMilliseconds);
		}
	};

	const isCaughtUpWithPeers = (): boolean => findPeerAhead() === undefined
		&& membership.listedPeers().every(({name}) => membership.findPeer(name)?.isReachable);

	return {
		async runPlatformReads() {
			for (;;) {
				await readPlatform();
				await (isKnown ? options.turns.untilOurTurn() : options.turns.untilNextSlot());
			}
		},
		async runPeerFetches() {
			for (;;) {
				await wakeSignal.promise;
				wakeSignal = createDeferred<void>();
				for (let peerAhead = findPeerAhead(); peerAhead; peerAhead = findPeerAhead()) {
					await fetchFrom(peerAhead);
				}
			}
		},
		wake() {
			wakeSignal.resolve();
		},
		async untilCaughtUp() {
			await firstRead.promise;
			const until = performance.now() + catchUpLimitMilliseconds;
			while (!isCaughtUpWithPeers() && performance.now() < until) {
				await sleep(pollIntervalMilliseconds);
			}
		},
	};
};
