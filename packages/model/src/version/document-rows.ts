import {parseJson} from '../connection/json.js';
import type {TableRow} from '../connection/platform-client.js';
import {parseServiceDocument, type AcceptedDocument} from './service-document.js';

/**
Key of the row that holds the version of the catalogue.
*/
export const catalogueKey = 'catalogue';

/**
Prefix of the keys of documents in force.
*/
export const documentPrefix = 'document/';

const historyPrefix = 'history/';
const changePrefix = 'change/';
const versionDigits = 12;

/**
A document as the table holds it.
*/
export type StoredDocument = {
	readonly version: number;
	readonly text: string;
	/** Distinguishes this write from a racing one that took the same version. */
	readonly nonce: string;
	readonly author: string;
	readonly acceptedAt: string;
};

const formatVersion = (version: number): string => String(version).padStart(versionDigits, '0');

/**
Key of the document in force of a service.
*/
export const documentKey = (service: string): string => `${documentPrefix}${service}`;

/**
Prefix of the keys of a service's accepted versions.
*/
export const historyPrefixOf = (service: string): string => `${historyPrefix}${service}/`;

/**
Key of an accepted version of a service's document.
*/
export const historyKey = (service: string, version: number): string => `${historyPrefixOf(service)}${formatVersion(version)}`;

/**
Key of the row whose value is the service that a catalogue version changed.
*/
export const changeKey = (version: number): string => `${changePrefix}${formatVersion(version)}`;

/**
Reads the version of the catalogue from its row; 0 before the first document.
*/
export const catalogueVersionOf = (row: TableRow | undefined): number => row ? Number(row.value) : 0;

/**
Parses the row of a document.

@throws A fault of kind `InvalidConfiguration` for a faulty text.
*/
export const parseStored = (row: TableRow): AcceptedDocument & {readonly nonce: string} => {
	const stored = parseJson<StoredDocument>(row.value);
	const document = parseServiceDocument(stored.text, `document "${row.key.slice(documentPrefix.length)}"`);
	return {
		version: stored.version, text: stored.text, document, nonce: stored.nonce,
	};
};
