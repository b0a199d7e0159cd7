import type {AcceptedDocument, EndpointEntry, ServiceDocument} from '@galenakeel/model/version/service-document.js';

/**
An endpoint of one document version, with its availability zone.
*/
export type Endpoint = EndpointEntry & {readonly zone: string};

/**
An accepted document, prepared for routing. A request uses one version from its start to its end.
*/
export type ServiceVersion = {
	readonly version: number;
	readonly text: string;
	readonly document: ServiceDocument;
	readonly endpoints: readonly Endpoint[];
};

/**
Prepares an accepted document for routing.
*/
export const createServiceVersion = (accepted: AcceptedDocument): ServiceVersion => ({
	version: accepted.version,
	text: accepted.text,
	document: accepted.document,
	endpoints: Object.entries(accepted.document.endpoints).flatMap(([zone, entries]) => entries.map(entry => ({...entry, zone}))),
});
