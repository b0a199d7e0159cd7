/**
Returns a document template for a service that has no document yet.
*/
export const createDocumentTemplate = (service: string): string => `// Document of the service ${service}. Check it with: galenakeel document validate FILE
{
	"service": ${JSON.stringify(service)},
	// The team that owns the service and this document.
	"team": "owning-team",
	// Whether a task may be sent again after it started.
	"idempotent": false,
	// Time that an endpoint has for a whole answer.
	"timeoutMilliseconds": 10000,
	// Deadline of a request that names none.
	"deadlineMilliseconds": 30000,
	// A request that would wait longer than this is refused at once, as not run.
	"maximumQueueMilliseconds": 1000,
	// Endpoints by availability zone; give each its IP number and port.
	"endpoints": {
		"zone-a": [
			{"name": "worker-1", "address": "10.1.2.3:8080", "slots": 8, "connections": 64}
		]
	}
}
`;
