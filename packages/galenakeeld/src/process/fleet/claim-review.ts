import {performance} from 'node:perf_hooks';
import type {Claimant} from './cell-claims.js';
import type {FleetView} from './fleet-view.js';
import type {OwnedCells} from './owned-cells.js';

/**
Reviews which cells this daemon claims.
*/
export type ClaimReview = {
	/** Reviews all claims now. */
	readonly review: () => void;
	/** Reviews the claims if something has changed, and from time to time otherwise, since some decisions depend on how long something has been so. */
	readonly reviewIfDue: () => void;
	/** Records that an endpoint of an owned cell has accepted the token of another daemon. */
	readonly recordFenced: (cell: string) => void;
	/** Takes back or releases cells whose endpoints accept another daemon than the known owner, once heartbeats have had time to show that daemon as the owner. */
	readonly reviewFences: () => void;
};

export type ClaimReviewOptions = {
	readonly cells: Pick<OwnedCells, 'get' | 'reclaimOrYield' | 'reviewClaims' | 'revision'>;
	readonly view: Pick<FleetView, 'all' | 'revision'>;
	readonly self: () => Claimant;
	/** Whether enough of the zone was heard to conclude that a cell has no owner. */
	readonly mayClaim: () => boolean;
	readonly mayHandOver: () => boolean;
	/** Called after the claims of this daemon have changed. */
	readonly onClaimsChanged: () => void;
	/** Called at the end of each review. */
	readonly onReviewed: () => void;
	/** Called before a cell is taken back or released because endpoints accept another daemon. */
	readonly onFenceReviewed: (cell: string) => void;
};

/** Interval of reviews while nothing changes. */
const reviewMilliseconds = 250;
/** Time in which heartbeats show the owner whose token an endpoint accepts. */
const fenceDelayMilliseconds = 400;

/**
Creates the review of a daemon that has just started.

@example
```
const claims = createClaimReview(options);
const timer = setInterval(claims.reviewIfDue, 50);
```
*/
export const createClaimReview = ({cells, view, self, mayClaim, mayHandOver, onClaimsChanged, onReviewed, onFenceReviewed}: ClaimReviewOptions): ClaimReview => {
	const startedAt = performance.now();
	/** Monotonic milliseconds at which an endpoint of a cell was first found to accept the token of another owner. */
	const fencedAt = new Map<string, number>();
	let reviewedAt = Number.NEGATIVE_INFINITY;
	let reviewedView = -1;
	let reviewedCells = -1;

	const review = (): void => {
		reviewedAt = performance.now();
		reviewedView = view.revision();
		reviewedCells = cells.revision();
		if (cells.reviewClaims(self, view.all(), {ageMilliseconds: performance.now() - startedAt, mayClaim: mayClaim(), mayHandOver: mayHandOver()})) {
			onClaimsChanged();
		}

		onReviewed();
	};

	const reviewFence = (cell: string): void => {
		fencedAt.delete(cell);
		if (cells.get(cell)) {
			onFenceReviewed(cell);
			cells.reclaimOrYield(cell, view.all().length > 0);
			onClaimsChanged();
		}
	};

	return {
		review,
		reviewIfDue() {
			const hasChanged = reviewedView !== view.revision() || reviewedCells !== cells.revision();
			if (hasChanged || performance.now() - reviewedAt >= reviewMilliseconds) {
				review();
			}
		},
		recordFenced(cell) {
			fencedAt.set(cell, fencedAt.get(cell) ?? performance.now());
		},
		reviewFences() {
			if (!mayClaim()) {
				return;
			}

			for (const [cell, at] of fencedAt) {
				if (performance.now() - at > fenceDelayMilliseconds) {
					reviewFence(cell);
				}
			}
		},
	};
};
