import {parseJson} from '../connection/json.js';
import {PlatformOutcome, type Platform, type TableRow} from '../connection/platform-client.js';
import {createFault, FaultKind} from '../request/fault.js';
import {parseServiceDocument, type AcceptedDocument} from './service-document.js';

const catalogueKey = 'catalogue';
const documentPrefix = 'document/';
const historyPrefix = 'history/';
const pageRows = 200;

type StoredDocument = {
	readonly version: number;
	readonly text: string;
	/** Distinguishes this write from a racing one that took the same version. */
	readonly nonce: string;
	readonly author: string;
	readonly acceptedAt: string;
};

/**
One accepted version of a document.
*/
export type HistoryEntry = Omit<StoredDocument, 'nonce'>;

const catalogueVersionOf = (row: TableRow | undefined): number => row ? Number(row.value) : 0;

const historyKey = (service: string, version: number): string =>
	`${historyPrefix}${service}/${String(version).padStart(12, '0')}`;

const parseStored = (row: TableRow): AcceptedDocument & {readonly nonce: string} => {
	const stored = parseJson<StoredDocument>(row.value);
	const document = parseServiceDocument(stored.text, `document "${row.key.slice(documentPrefix.length)}"`);
	return {
		version: stored.version, text: stored.text, document, nonce: stored.nonce,
	};
};

/**
Reads the version of the catalogue, which rises with each accepted document.
*/
export const readCatalogueVersion = async (platform: Platform): Promise<number> => {
	const [row] = await platform.readRows([catalogueKey]);
	return catalogueVersionOf(row);
};

/**
Reads the accepted document of one service; `undefined` when there is none.
*/
export const readDocument = async (platform: Platform, service: string): Promise<AcceptedDocument | undefined> => {
	const [row] = await platform.readRows([`${documentPrefix}${service}`]);
	return row && parseStored(row);
};

/**
Reads every accepted document.
*/
export const readDocuments = async (platform: Platform): Promise<readonly AcceptedDocument[]> => {
	const documents: AcceptedDocument[] = [];
	let after: string | undefined;
	for (;;) {
		const rows = await platform.scanRows(documentPrefix, pageRows, after);
		documents.push(...rows.map(row => parseStored(row)));
		if (rows.length < pageRows) {
			return documents;
		}

		after = rows.at(-1)?.key;
	}
};

/**
Reads the accepted versions of one service, oldest first.
*/
export const readHistory = async (platform: Platform, service: string): Promise<readonly HistoryEntry[]> => {
	const rows = await platform.scanRows(`${historyPrefix}${service}/`, pageRows);
	return rows.map(row => {
		const {nonce: _nonce, ...entry} = parseJson<StoredDocument>(row.value);
		return entry;
	});
};

const acceptAttempts = 8;

/**
Accepts a document if the service's accepted version is still the one that the operator saw.

The document and the catalogue version are written in one transaction. A lost answer is read back by its nonce.

@returns The version under which the document is accepted.
@throws A fault of kind `DocumentConflict` when another operator was first, `InvalidConfiguration` for a faulty text, `PlatformUnavailable` when the result can't be learned.

@example
```
const version = await acceptDocument(platform, {text, seenVersion: 12, author: 'roisin', nonce: randomUUID()});
```
*/
export const acceptDocument = async (platform: Platform, proposal: {text: string; seenVersion: number; author: string; nonce: string}): Promise<number> => {
	const {service} = parseServiceDocument(proposal.text, 'the document');
	const documentKey = `${documentPrefix}${service}`;
	for (let attempt = 0; attempt < acceptAttempts; attempt++) {
		const rows = await platform.readRows([catalogueKey, documentKey]);
		const catalogueRow = rows.find(row => row.key === catalogueKey);
		const documentRow = rows.find(row => row.key === documentKey);
		const current = documentRow && parseStored(documentRow);
		if (current?.nonce === proposal.nonce) {
			return current.version;
		}

		if ((current?.version ?? 0) !== proposal.seenVersion) {
			throw createFault(FaultKind.DocumentConflict, `the document of "${service}" is at version ${current?.version ?? 0}, not at version ${proposal.seenVersion} that the change was made from`);
		}

		const version = catalogueVersionOf(catalogueRow) + 1;
		const stored: StoredDocument = {
			version, text: proposal.text, nonce: proposal.nonce, author: proposal.author, acceptedAt: new Date().toISOString(),
		};
		const value = JSON.stringify(stored);
		const result = await platform.transact(
			[{key: catalogueKey, version: catalogueRow?.version ?? 0}, {key: documentKey, version: documentRow?.version ?? 0}],
			[{key: catalogueKey, value: String(version)}, {key: documentKey, value}, {key: historyKey(service, version), value}],
		);
		if (result.outcome === PlatformOutcome.Done) {
			return version;
		}

		// A refusal may only mean that another service's document took the catalogue version; the next look tells.
	}

	throw createFault(FaultKind.PlatformUnavailable, `the platform did not confirm the document of "${service}" in ${acceptAttempts} attempts`);
};
