import type {AcceptedDocument} from '@galenakeel/model/version/service-document.js';
import {createServiceVersion, type ServiceVersion} from './service-version.js';

/**
The active documents of this instance. A version is only replaced by a higher one.
*/
export type DocumentCatalogue = {
	/** Highest catalogue version whose documents are all installed; 0 before the first. */
	readonly catalogueVersion: () => number;
	readonly versionOf: (service: string) => ServiceVersion | undefined;
	readonly all: () => readonly ServiceVersion[];
	/** Installs the documents that are newer than the active ones; returns the services that changed. */
	readonly install: (documents: readonly AcceptedDocument[], catalogueVersion: number) => readonly string[];
};

/**
Creates an empty catalogue.

@param onInstall Called with each service version that becomes active.

@example
```
const catalogue = createDocumentCatalogue(version => dispatchers.install(version));
catalogue.install(await readDocuments(platform), await readCatalogueVersion(platform));
```
*/
export const createDocumentCatalogue = (onInstall: (version: ServiceVersion) => void): DocumentCatalogue => {
	const installedVersions = new Map<string, ServiceVersion>();
	let installedCatalogueVersion = 0;
	return {
		catalogueVersion: () => installedCatalogueVersion,
		versionOf: service => installedVersions.get(service),
		all: () => [...installedVersions.values()],
		install(documents, catalogueVersion) {
			const changed: string[] = [];
			for (const accepted of documents) {
				const {service} = accepted.document;
				if ((installedVersions.get(service)?.version ?? 0) >= accepted.version) {
					continue;
				}

				const version = createServiceVersion(accepted);
				installedVersions.set(service, version);
				changed.push(service);
				onInstall(version);
			}

			installedCatalogueVersion = Math.max(installedCatalogueVersion, catalogueVersion);
			return changed;
		},
	};
};
