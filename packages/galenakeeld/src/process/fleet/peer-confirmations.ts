import {performance} from 'node:perf_hooks';
import type {FleetFrame, HeardFrame, Heartbeat} from '@galenakeel/model/connection/fleet-message.js';

/**
What this daemon and its peers know to have received of each other. An owner grants leases by it: a peer that confirms a frame had not lost this daemon when the frame was sent.
*/
export type PeerConfirmations = {
	/** Records a frame of a peer. Call it after the frame's messages, since a confirmation doesn't hold before the cancels that arrive with it. */
	readonly recordFrame: (peer: Pick<Heartbeat, 'address' | 'startedAt'>, frame: Pick<FleetFrame, 'sentAt' | 'heard'>) => void;
	/** What the next frame to a peer confirms. */
	readonly heardFrom: (address: string) => HeardFrame | undefined;
	/** Monotonic milliseconds at which this daemon sent the last frame that a peer has confirmed; negative infinity if there is none, or none since this daemon was suspended. For this daemon itself, the time up to which it has read what arrived. */
	readonly confirmedBy: (address: string) => number;
	/** Monotonic milliseconds at which the last frame was processed that this daemon has confirmed, or is about to confirm, to a peer in any of its lives; negative infinity if there is none. The peer had sent it by then, so its permission to run tasks for this daemon counts from no later time. For this daemon itself, the time up to which it has read what arrived. */
	readonly confirmedTo: (address: string) => number;
	/** Asks a peer to confirm at once, unless it was asked a moment ago. */
	readonly request: (address: string) => void;
};

export type PeerConfirmationsOptions = {
	/** Address of this daemon. */
	readonly address: string;
	/** Unix milliseconds of this daemon's start. */
	readonly startedAt: number;
	/** Monotonic milliseconds of the last suspension, which the monotonic clock doesn't count. */
	readonly lastSuspendedAt: () => number;
	/** Monotonic milliseconds up to which this daemon has read what arrived for it. */
	readonly readUpTo: () => number;
	/** Called before frames of peers are confirmed. */
	readonly beforeConfirming: () => void;
	readonly sendRequest: (address: string) => void;
	/** Called when a confirmation has arrived that was requested. */
	readonly onConfirmed: () => void;
};

type ProcessedFrame = {
	/** Monotonic clock of the peer. */
	readonly sentAt: number;
	/** Own monotonic clock. */
	readonly processedAt: number;
};

type PeerRecord = {
	readonly startedAt: number;
	/** The last frame that was processed. */
	processed: ProcessedFrame;
	/** The last frame that was processed in a turn of the event loop that has ended. */
	previousTurn: ProcessedFrame;
	/** The last one since whose turn a whole turn has ended. */
	confirmable: ProcessedFrame;
	/** When the last confirmable frame of the earlier lives of the peer was processed, on the own monotonic clock. */
	readonly earlierProcessedAt: number;
	/** Own monotonic clock. */
	confirmedAt: number;
};

const noFrame: ProcessedFrame = {sentAt: Number.NEGATIVE_INFINITY, processedAt: Number.NEGATIVE_INFINITY};

/** Time for which a request is not repeated, since its answer may be on its way. */
const repeatMilliseconds = 100;

/**
Creates an empty record.

@example
```
const confirmations = createPeerConfirmations(options);
confirmations.recordFrame(heartbeat, frame);
confirmations.confirmedBy('10.1.0.13:7720');
```
*/
export const createPeerConfirmations = ({address: self, startedAt, lastSuspendedAt, readUpTo, beforeConfirming, sendRequest, onConfirmed}: PeerConfirmationsOptions): PeerConfirmations => {
	const records = new Map<string, PeerRecord>();
	/** Times of the requests that have not been answered, in monotonic milliseconds. */
	const requests = new Map<string, number>();

	const lastProcessedAt = ({confirmable, earlierProcessedAt}: PeerRecord): number => Math.max(confirmable.processedAt, earlierProcessedAt);

	/** The record of this life of a peer; frames of an earlier life prove nothing, but runs that it started may go on. */
	const recordOf = (peer: Pick<Heartbeat, 'address' | 'startedAt'>): PeerRecord => {
		const known = records.get(peer.address);
		if (known?.startedAt === peer.startedAt) {
			return known;
		}

		const record: PeerRecord = {
			startedAt: peer.startedAt,
			processed: noFrame,
			previousTurn: noFrame,
			confirmable: noFrame,
			confirmedAt: Number.NEGATIVE_INFINITY,
			earlierProcessedAt: known ? lastProcessedAt(known) : Number.NEGATIVE_INFINITY,
		};
		records.set(peer.address, record);
		return record;
	};

	/** Confirms at the end of each turn what was processed in the one before. A turn reads of each connection all that has come by the time that its reading gets there, so a frame may be processed in it although the end of a caller's connection that arrived before it is not read until the next. */
	const confirmAtTurnEnd = (record: PeerRecord): void => {
		setImmediate(() => {
			beforeConfirming();
			record.confirmable = record.previousTurn;
			record.previousTurn = record.processed;
			if (record.previousTurn.sentAt > record.confirmable.sentAt) {
				confirmAtTurnEnd(record);
			}
		});
	};

	const recordProcessed = (record: PeerRecord, sentAt: number): void => {
		const isPending = record.processed.sentAt > record.confirmable.sentAt;
		if (sentAt > record.processed.sentAt) {
			record.processed = {sentAt, processedAt: performance.now()};
		}

		if (!isPending) {
			confirmAtTurnEnd(record);
		}
	};

	const isOwnFrame = (heard: HeardFrame): boolean => heard.startedAt === startedAt && heard.sentAt <= performance.now();

	return {
		recordFrame(peer, {sentAt, heard}) {
			const record = recordOf(peer);
			recordProcessed(record, sentAt);
			if (!heard || !isOwnFrame(heard)) {
				return;
			}

			record.confirmedAt = Math.max(record.confirmedAt, heard.sentAt);
			if (heard.sentAt >= (requests.get(peer.address) ?? Number.POSITIVE_INFINITY)) {
				requests.delete(peer.address);
				onConfirmed();
			}
		},
		heardFrom(address) {
			const record = records.get(address);
			const hasHeard = record !== undefined && record.confirmable !== noFrame;
			return hasHeard ? {startedAt: record.startedAt, sentAt: record.confirmable.sentAt} : undefined;
		},
		confirmedBy(address) {
			const confirmedAt = address === self ? readUpTo() : records.get(address)?.confirmedAt ?? Number.NEGATIVE_INFINITY;
			return confirmedAt > lastSuspendedAt() ? confirmedAt : Number.NEGATIVE_INFINITY;
		},
		confirmedTo(address) {
			const record = records.get(address);
			if (address === self) {
				return readUpTo();
			}

			return record ? lastProcessedAt(record) : Number.NEGATIVE_INFINITY;
		},
		request(address) {
			const now = performance.now();
			if (address !== self && now - (requests.get(address) ?? Number.NEGATIVE_INFINITY) >= repeatMilliseconds) {
				requests.set(address, now);
				sendRequest(address);
			}
		},
	};
};
