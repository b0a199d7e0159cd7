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
What the watch keeps up to date.
*/
export type CatalogueWatchOptions = {
	readonly platform: Platform;
	readonly catalogue: DocumentCatalogue;
	readonly membership: Membership;
	readonly directory: PeerDirectory;
	readonly turns: SharedTurns;
	/** Pause after a peer did not give its documents. */
	readonly retryMilliseconds: number;
	readonly peerCallMilliseconds: number;
	readonly log: Log;
	/** Called when a higher catalogue version is in force. */
	readonly onNewCatalogue: () => void;
};

/**
Keeps the catalogue at the highest version that the platform or a peer has.
*/
export type CatalogueWatch = {
	/** Reads the platform's catalogue in this instance's turns, until the process ends. Until the documents are known, every slot is a turn. */
	readonly runPlatformReads: () => Promise<never>;
	/** Fetches documents from peers until the process ends, each time that it is woken. */
	readonly runPeerFetches: () => Promise<never>;
	/** Says that a peer may have a higher catalogue. */
	readonly wake: () => void;
	/** Resolves when the platform or a peer has given the documents, and every listed peer was heard and has none that are newer, or has had time to say so. */
	readonly untilCaughtUp: () => Promise<void>;
};

/**
Creates the watch; nothing is read before it runs.

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
			log.warn({event: LogEvent.PlatformUnavailable, detail: detailOf(error)}, 'the catalogue could not be read; the documents in force stay');
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
			log.warn({event: LogEvent.PeerUnavailable, peer: peer.instance, detail: detailOf(error)}, 'a peer with newer documents did not give them; it is asked again');
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
