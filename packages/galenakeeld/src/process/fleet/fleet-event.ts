/**
Log events of a daemon on the job platform. The decisions of its cells are logged under their own names.
*/
export enum FleetEvent {
	Started = 'daemon-started',
	StartFailed = 'start-failed',
	Serving = 'serving',
	Leaving = 'leaving',
	Stopped = 'stopped',
	Reloaded = 'settings-reloaded',
	ReloadFailed = 'settings-reload-failed',
	ConfigurationInstalled = 'configuration-installed',
	/** A peer has a newer configuration than the store has delivered here, and is asked for it. */
	ConfigurationRequested = 'configuration-requested',
	StoreLost = 'store-lost',
	StoreRegained = 'store-regained',
	StoreCallFailed = 'store-call-failed',
	UnreadableEntry = 'unreadable-entry',
	PeerReachable = 'peer-heard',
	PeerLost = 'peer-lost',
	PeerStreamBroken = 'peer-stream-broken',
	CellLayoutInstalled = 'cells-divided',
	CellClaimed = 'cell-claimed',
	CellYielded = 'cell-yielded',
	CellFenced = 'cell-fenced',
	Paused = 'process-was-paused',
	/** Load of the daemon and its cells over the last second. */
	DaemonLoad = 'daemon-load',
	/** A caller has left before its job was answered. */
	CallerLeft = 'caller-left',
	JobAnswered = 'job-answered',
	RequestFailed = 'request-failed',
	/** An error that no task has handled; the process goes on. */
	UnexpectedError = 'unexpected-error',
}
