/**
Log events; the value is the field `event` of a log line.
*/
export enum LogEvent {
	/** The daemon accepts requests. */
	Serving = 'serving',
	/** The daemon has started to leave the fleet. */
	Leaving = 'leaving',
	/** The daemon has drained and stopped. */
	Stopped = 'stopped',
	/** The daemon failed to start. */
	StartFailed = 'start-failed',
	/** Requests were aborted at the drain limit. */
	DrainLimit = 'drain-limit',
	/** The platform did not answer. */
	PlatformUnavailable = 'platform-unavailable',
	/** A peer did not send its newer documents. */
	PeerUnavailable = 'peer-unavailable',
	/** A request or job ended without a complete answer. */
	RequestIncomplete = 'request-incomplete',
	/** An operator changed the log level. */
	LogLevelChanged = 'log-level-changed',
	/** Spans could not be written to the file `traces.file` of the settings. */
	TraceExportFailed = 'trace-export-failed',
}
