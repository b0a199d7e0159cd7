/**
The events of the log, in the field `event` of each line.
*/
export enum LogEvent {
	/** The daemon takes requests. */
	Serving = 'serving',
	/** The daemon has begun to leave the fleet. */
	Leaving = 'leaving',
	/** The daemon has finished what it had. */
	Stopped = 'stopped',
	/** The daemon could not start. */
	StartFailed = 'start-failed',
	/** The drain limit cut requests. */
	DrainLimit = 'drain-limit',
	/** The platform did not answer. */
	PlatformUnavailable = 'platform-unavailable',
	/** A peer did not give its newer documents. */
	PeerUnavailable = 'peer-unavailable',
	/** A request or job ended without a whole answer. */
	RequestIncomplete = 'request-incomplete',
	/** An operator changed the level of the log. */
	LogLevelChanged = 'log-level-changed',
	/** Spans could not be written to the file of the settings. */
	TraceExportFailed = 'trace-export-failed',
}
