import {setTimeout as sleep} from 'node:timers/promises';
import {parseJson} from '../connection/json.js';
import {PlatformOutcome, type Platform, type TableRow} from '../connection/platform-client.js';
import {createFault, FaultKind} from '../request/fault.js';
import {
	catalogueKey, catalogueVersionOf, changeKey, documentKey, documentPrefix, historyKey, historyPrefixOf, parseStored, type StoredDocument,
} from './document-rows.js';
import {parseServiceDocument, type AcceptedDocument} from './service-document.js';

const rowsPerPage = 200;
/** Number of latest changes whose rows are kept in the table. */
const retainedChanges = 1000;

/**
One accepted version of a document.
*/
export type HistoryEntry = Omit<StoredDocument, 'nonce'>;

/**
Reads the version of the catalogue, which increases with each accepted document.
*/
export const readCatalogueVersion = async (platform: Platform): Promise<number> => {
	const [row] = await platform.readRows([catalogueKey]);
	return catalogueVersionOf(row);
};

/**
Reads the accepted document of one service; `undefined` if there is none.
*/
export const readDocument = async (platform: Platform, service: string): Promise<AcceptedDocument | undefined> => {
	const [row] = await platform.readRows([documentKey(service)]);
	return row && parseStored(row);
};

const scanAll = async (platform: Platform, prefix: string): Promise<readonly TableRow[]> => {
	const rows: TableRow[] = [];
	for (;;) {
		const page = await platform.scanRows(prefix, rowsPerPage, rows.at(-1)?.key);
		rows.push(...page);
		if (page.length < rowsPerPage) {
			return rows;
		}
	}
};

/**
Reads all accepted documents.
*/
export const readDocuments = async (platform: Platform): Promise<readonly AcceptedDocument[]> => {
	const rows = await scanAll(platform, documentPrefix);
	return rows.map(row => parseStored(row));
};

/**
Reads the accepted versions of one service, oldest first.
*/
export const readHistory = async (platform: Platform, service: string): Promise<readonly HistoryEntry[]> => {
	const rows = await scanAll(platform, historyPrefixOf(service));
	return rows.map(row => {
		const {nonce: _nonce, ...entry} = parseJson<StoredDocument>(row.value);
		return entry;
	});
};

const maximumAcceptAttempts = 8;
const maximumReadBackAttempts = 5;
const readBackDelayMilliseconds = 200;

/**
A document that an operator proposes.
*/
export type DocumentProposal = {
	readonly text: string;
	/** Version on which the change is based; 0 if there was none. */
	readonly seenVersion: number;
	readonly author: string;
	/** Distinguishes this proposal from all others. */
	readonly nonce: string;
};

/**
Rows of a service's document and the catalogue, from a single read.
*/
type DocumentState = {
	readonly catalogueRow: TableRow | undefined;
	readonly documentRow: TableRow | undefined;
	readonly version: number;
};

const readState = async (platform: Platform, service: string): Promise<DocumentState> => {
	const key = documentKey(service);
	const rows = await platform.readRows([catalogueKey, key]);
	const documentRow = rows.find(row => row.key === key);
	return {
		catalogueRow: rows.find(row => row.key === catalogueKey),
		documentRow,
		version: documentRow ? parseJson<StoredDocument>(documentRow.value).version : 0,
	};
};

/**
Looks up a proposal in the history, since another operator may already have replaced its document.
*/
const findAccepted = async (platform: Platform, service: string, proposed: readonly number[], nonce: string): Promise<number | undefined> => {
	if (proposed.length === 0) {
		return undefined;
	}

	const rows = await platform.readRows(proposed.map(version => historyKey(service, version)));
	return rows.map(row => parseJson<StoredDocument>(row.value)).find(stored => stored.nonce === nonce)?.version;
};

/**
Retries a read while the platform is unreachable, if a write was sent whose result is unknown.
*/
const readWithRetries = async <Value>(read: () => Promise<Value>, service: string, hasProposed: boolean): Promise<Value> => {
	for (let attempt = 1; ; attempt++) {
		try {
			return await read();
		} catch (error) {
			if (!hasProposed) {
				throw error;
			}

			if (attempt === maximumReadBackAttempts) {
				const detail = `the document of "${service}" was sent, and the platform does not tell whether it is accepted; accepting the same text again is safe`;
				throw createFault(FaultKind.PlatformUnavailable, detail, error);
			}

			await sleep(readBackDelayMilliseconds);
		}
	}
};

const propose = async (platform: Platform, service: string, state: DocumentState, proposal: DocumentProposal): Promise<{readonly version: number; readonly outcome: PlatformOutcome}> => {
	const {catalogueRow, documentRow} = state;
	const key = documentKey(service);
	const version = catalogueVersionOf(catalogueRow) + 1;
	const stored: StoredDocument = {
		version, text: proposal.text, nonce: proposal.nonce, author: proposal.author, acceptedAt: new Date().toISOString(),
	};
	const value = JSON.stringify(stored);
	const {outcome} = await platform.transact(
		[{key: catalogueKey, version: catalogueRow?.version ?? 0}, {key, version: documentRow?.version ?? 0}],
		[
			{key: catalogueKey, value: String(version)},
			{key, value},
			{key: historyKey(service, version), value},
			{key: changeKey(version), value: service},
			...(version > retainedChanges ? [{key: changeKey(version - retainedChanges)}] : []),
		],
	);
	return {version, outcome};
};

/**
Accepts a document if the service's accepted version is still the one that the operator saw.

The document and the catalogue version are written in one transaction. If the answer to the write is lost, the history is searched for its nonce, so that the write counts even if another operator has replaced the document since.

@returns The version under which the document is accepted.
@throws A fault of kind `DocumentConflict` if another operator changed the document first, `InvalidConfiguration` if the text is invalid, `PlatformUnavailable` if the result can't be determined.

@example
```
const version = await acceptDocument(platform, {text, seenVersion: 12, author: 'roisin', nonce: randomUUID()});
```
*/
export const acceptDocument = async (platform: Platform, proposal: DocumentProposal): Promise<number> => {
	const {service} = parseServiceDocument(proposal.text, 'the document');
	const proposed: number[] = [];
	for (let attempt = 0; attempt < maximumAcceptAttempts; attempt++) {
		const hasProposed = proposed.length > 0;
		// The state is read before the history: if another version is accepted in between, the transaction fails on the row's version.
		const state = await readWithRetries(async () => readState(platform, service), service, hasProposed);
		const accepted = await readWithRetries(async () => findAccepted(platform, service, proposed, proposal.nonce), service, hasProposed);
		if (accepted !== undefined) {
			return accepted;
		}

		if (state.version !== proposal.seenVersion) {
			throw createFault(FaultKind.DocumentConflict, `the document of "${service}" is at version ${state.version}, not at version ${proposal.seenVersion} on which the change is based`);
		}

		const {version, outcome} = await propose(platform, service, state, proposal);
		if (outcome === PlatformOutcome.Done) {
			return version;
		}

		// The refusal may be due to another service's document that took the catalogue version; the next attempt reads the state again.
		proposed.push(version);
	}

	throw createFault(FaultKind.PlatformUnavailable, `the platform did not confirm the document of "${service}" in ${maximumAcceptAttempts} attempts`);
};
