import {parseJson} from '../connection/json.js';
import type {TableRow} from '../connection/platform-client.js';
import {parseServiceDocument, type AcceptedDocument} from './service-document.js';

/**
Key of the row that holds the version of the catalogue.
*/
export const catalogueKey = 'catalogue';

/**
Prefix of the keys of the documents in force.
*/
export const documentPrefix = 'document/';

const historyPrefix = 'history/';
const changePrefix = 'change/';
const versionDigits = 12;

/**
A document as stored in the table.
*/
export type StoredDocument = {
	readonly version: number;
	readonly text: string;
	/** Distinguishes this write from a concurrent one that used the same version. */
	readonly nonce: string;
	readonly author: string;
	readonly acceptedAt: string;
};

const formatVersion = (version: number): string => String(version).padStart(versionDigits, '0');

/**
Key of a service's document in force.
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
Key of the row that holds the name of the service changed by a catalogue version.
*/
export const changeKey = (version: number): string => `${changePrefix}${formatVersion(version)}`;

/**
Returns the version of the catalogue from its row; 0 before the first document is accepted.
*/
export const catalogueVersionOf = (row: TableRow | undefined): number => row ? Number(row.value) : 0;

/**
Parses the row of a document.

@throws A fault of kind `InvalidConfiguration` if the text of the document is invalid.
*/
export const parseStored = (row: TableRow): AcceptedDocument & {readonly nonce: string} => {
	const stored = parseJson<StoredDocument>(row.value);
	const document = parseServiceDocument(stored.text, `document "${row.key.slice(documentPrefix.length)}"`);
	return {
		version: stored.version, text: stored.text, document, nonce: stored.nonce,
	};
};
