import {performance} from 'node:perf_hooks';

/**
Detects that a peer is heard, and doesn't receive what this daemon sends it: connections may go silent in one direction for good.
*/
export type UnheardStreamDetector = {
	/** Records a frame to the peer. Times are monotonic milliseconds. */
	readonly recordSent: (sentAt: number) => void;
	/** Records that a new stream to the peer begins. */
	readonly restart: () => void;
	/**
	Records a frame of the peer.

	@param heardSentAt When the last frame was sent that the peer has processed.
	@returns Whether frames of the stream are missing at the peer.
	*/
	readonly recordReceived: (heardSentAt: number) => boolean;
};

/** Time after which the peer must have processed a frame: the delays that frames in both directions may have. */
const missingAfterMilliseconds = 1200;
/** Time for which the frame must go on missing, since frames that arrive after a pause of this daemon were sent before it. */
const confirmMilliseconds = 300;
/** Frames sent so soon after another aren't recorded by themselves. */
const resolutionMilliseconds = 50;

/**
Creates a detector for a new stream.

@example
```
const detector = createUnheardStreamDetector();
detector.recordSent(performance.now());
detector.recordReceived(heard.sentAt); // => false
```
*/
export const createUnheardStreamDetector = (): UnheardStreamDetector => {
	/** Times of the frames that the peer hasn't confirmed, in order. */
	let unconfirmed: number[] = [];
	/** Since when a frame counts as missing. */
	let missingSince: number | undefined;

	const restart = (): void => {
		unconfirmed = [];
		missingSince = undefined;
	};

	return {
		recordSent(sentAt) {
			if (sentAt - (unconfirmed.at(-1) ?? Number.NEGATIVE_INFINITY) >= resolutionMilliseconds) {
				unconfirmed.push(sentAt);
			}
		},
		restart,
		recordReceived(heardSentAt) {
			unconfirmed = unconfirmed.filter(sentAt => sentAt > heardSentAt);
			const now = performance.now();
			const isMissing = unconfirmed.length > 0 && now - unconfirmed[0]! > missingAfterMilliseconds;
			missingSince = isMissing ? missingSince ?? now : undefined;
			return missingSince !== undefined && now - missingSince > confirmMilliseconds;
		},
	};
};
