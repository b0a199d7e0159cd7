import {setTimeout as sleep} from 'node:timers/promises';
import type {Platform} from '@galenakeel/model/connection/platform-client.js';
import {detailOf} from '@galenakeel/model/request/fault.js';
import {readCatalogueVersion, readDocuments} from '@galenakeel/model/version/document-store.js';
import {parseServiceDocument} from '@galenakeel/model/version/service-document.js';
import type {DocumentCatalogue} from '../version/document-catalogue.js';
import {LogEvent} from './log-event.js';
import type {Log} from './log.js';
import type {Membership} from './membership.js';
import type {PeerDirectory} from './peer-directory.js';

/**
What the watch keeps up to date.
*/
export type PlatformWatchOptions = {
	readonly platform: Platform;
	readonly catalogue: DocumentCatalogue;
	readonly membership: Membership;
	readonly directory: PeerDirectory;
	readonly pollMilliseconds: number;
	readonly peerCallMilliseconds: number;
	readonly log: Log;
	/** Called when a higher catalogue version is in force. */
	readonly onNewCatalogue: () => void;
	/** Called after the first round, whether the platform or a peer gave the documents. */
	readonly onReady: () => void;
};

/**
Reads the instance list and the catalogue from the platform until the process ends, and from peers that have a higher catalogue.
*/
export const runPlatformWatch = async (options: PlatformWatchOptions): Promise<never> => {
	let isReady = false;
	for (;;) {
		await readInstances(options);
		const before = options.catalogue.catalogueVersion();
		const hasRead = await readCatalogue(options);
		const hasAsked = await readFromPeers(options);
		if (options.catalogue.catalogueVersion() > before) {
			options.onNewCatalogue();
		}

		if (!isReady && (hasRead || hasAsked)) {
			isReady = true;
			options.onReady();
		}

		await sleep(options.pollMilliseconds);
	}
};

const readInstances = async ({platform, membership, directory, log}: PlatformWatchOptions): Promise<void> => {
	try {
		membership.list(await platform.listInstances());
	} catch (error) {
		log.warn({event: LogEvent.PlatformUnavailable, detail: detailOf(error)}, 'the instance list could not be read; the last one stays in use');
	}

	directory.connect();
};

const readCatalogue = async ({platform, catalogue, log}: PlatformWatchOptions): Promise<boolean> => {
	try {
		const version = await readCatalogueVersion(platform);
		if (version > catalogue.catalogueVersion()) {
			catalogue.install(await readDocuments(platform), version);
		}

		return true;
	} catch (error) {
		log.warn({event: LogEvent.PlatformUnavailable, detail: detailOf(error)}, 'the catalogue could not be read; the documents in force stay');
		return false;
	}
};

/**
Fetches documents from a peer whose catalogue is higher, so that neither an outage of the platform nor a stale read holds one back.
*/
const readFromPeers = async ({catalogue, membership, directory, peerCallMilliseconds, log}: PlatformWatchOptions): Promise<boolean> => {
	const ahead = membership.peers().find(peer => peer.isReachable && peer.catalogueVersion > catalogue.catalogueVersion());
	if (!ahead) {
		return false;
	}

	try {
		const reply = await directory.callsOf(ahead.instance)!.fetchDocuments(catalogue.catalogueVersion(), peerCallMilliseconds);
		const documents = reply.documents.map(({service, version, text}) => ({version, text, document: parseServiceDocument(text, `document "${service}"`)}));
		catalogue.install(documents, reply.catalogueVersion);
		return true;
	} catch (error) {
		log.warn({event: LogEvent.PeerUnavailable, peer: ahead.instance, detail: detailOf(error)}, 'a peer with newer documents did not give them; the next round asks again');
		return false;
	}
};
