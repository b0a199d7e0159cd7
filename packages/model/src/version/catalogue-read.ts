import type {Platform} from '../connection/platform-client.js';
import {changeKey, documentKey, parseStored} from './document-rows.js';
import {readCatalogueVersion, readDocuments} from './document-store.js';
import type {AcceptedDocument} from './service-document.js';

/** Maximum number of changes to catch up with by reading only the changed documents; a reader that is further behind reads all. */
const maximumChangesBehind = 50;

/**
Documents, and the catalogue version up to which they are complete.
*/
export type CatalogueRead = {readonly documents: readonly AcceptedDocument[]; readonly catalogueVersion: number};

/** If a stale read returns documents older than the catalogue, their version is reported, and the next read returns the rest. */
const readAllDocuments = async (platform: Platform, version: number): Promise<CatalogueRead> => {
	const documents = await readDocuments(platform);
	return {documents, catalogueVersion: Math.min(version, Math.max(0, ...documents.map(document => document.version)))};
};

type DocumentChange = {readonly version: number; readonly service: string};

const readChanges = async (platform: Platform, aboveVersion: number, version: number): Promise<readonly DocumentChange[]> => {
	const versions = Array.from({length: version - aboveVersion}, (_, position) => aboveVersion + position + 1);
	const rows = await platform.readRows(versions.map(changed => changeKey(changed)));
	const services = new Map(rows.map(row => [row.key, row.value]));
	return versions.flatMap(changed => {
		const service = services.get(changeKey(changed));
		return service === undefined ? [] : [{version: changed, service}];
	});
};

const readChangedDocuments = async (platform: Platform, changes: readonly DocumentChange[]): Promise<CatalogueRead> => {
	const keys = new Set(changes.map(({service}) => documentKey(service)));
	const rows = await platform.readRows([...keys]);
	const documents = rows.map(row => parseStored(row));
	const versions = new Map(documents.map(({document, version}) => [document.service, version]));
	const stale = changes.find(({service, version}) => (versions.get(service) ?? 0) < version);
	return {documents, catalogueVersion: stale ? stale.version - 1 : changes.at(-1)!.version};
};

/**
Reads the documents that were accepted after a catalogue version. A reader that is far behind gets all documents.

@example
```
const {documents, catalogueVersion} = await readCatalogue(platform, catalogue.catalogueVersion());
```
*/
export const readCatalogue = async (platform: Platform, aboveVersion: number): Promise<CatalogueRead> => {
	const version = await readCatalogueVersion(platform);
	if (version <= aboveVersion) {
		return {documents: [], catalogueVersion: version};
	}

	const behind = version - aboveVersion;
	if (aboveVersion === 0 || behind > maximumChangesBehind) {
		return readAllDocuments(platform, version);
	}

	// The row of a change is missing if an earlier release accepted the change, or if the read was stale.
	const changes = await readChanges(platform, aboveVersion, version);
	return changes.length === behind ? readChangedDocuments(platform, changes) : readAllDocuments(platform, version);
};
