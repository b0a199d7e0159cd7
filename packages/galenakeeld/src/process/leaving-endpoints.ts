import {performance} from 'node:perf_hooks';
import {ListedState, type ListedInstance} from '@galenakeel/model/connection/platform-client.js';

const unorderedMarkMilliseconds = 10_000; // Longer than the lag of the platform's list.
const unlistedRetentionMilliseconds = 600_000;
const maximumEarlierIncarnations = 16;

type KnownAddress = {
	/** Latest incarnation in this instance's list; `undefined` before the address is listed. */
	current: string | undefined;
	/** Incarnations that were listed before the current one. */
	readonly earlier: Set<string>;
	/** Incarnations that are leaving, with the time of the last report. */
	readonly marks: Map<string, number>;
	unlistedSince: number | undefined;
};

/**
Tracks endpoints that are leaving. A mark applies to one incarnation and is never revoked; another incarnation at the same address may get new work.
*/
export type LeavingEndpoints = {
	/** Updates incarnations and marks from this instance's list of endpoints. */
	readonly updateListed: (endpoints: readonly ListedInstance[]) => void;
	/** Adds the marks that a peer announced. */
	readonly receiveMarks: (marks: readonly string[]) => void;
	/** Marks of the current incarnations in this instance's own list, in the form `address/incarnation`. */
	readonly marks: () => readonly string[];
	/** Whether the endpoint at an address gets no new work. */
	readonly isLeaving: (address: string) => boolean;
	/** Addresses that get no new work, sorted. */
	readonly leavingAddresses: () => readonly string[];
};

const createKnownAddress = (): KnownAddress => ({
	current: undefined, earlier: new Set(), marks: new Map(), unlistedSince: undefined,
});

const splitMark = (mark: string): readonly [address: string, incarnation: string] => {
	const slash = mark.indexOf('/');
	return [mark.slice(0, slash), mark.slice(slash + 1)];
};

/**
Makes a listed incarnation the current one, unless a stale list shows an earlier one.
*/
const advanceIncarnation = (known: KnownAddress, incarnation: string): void => {
	if (known.current === incarnation || known.earlier.has(incarnation)) {
		return;
	}

	if (known.current !== undefined) {
		known.earlier.add(known.current);
		known.marks.delete(known.current);
		const [oldest] = known.earlier;
		if (known.earlier.size > maximumEarlierIncarnations) {
			known.earlier.delete(oldest!);
		}
	}

	known.current = incarnation;
};

/**
Creates the register of leaving endpoints, without marks.

The platform does not order incarnations, so a marked incarnation that is absent from this instance's list may be older or newer than the listed one. Such a mark counts while peers repeat it, and for `unorderedMarkMilliseconds` after the last report.

@example
```
const leaving = createLeavingEndpoints();
leaving.receiveMarks(['10.1.2.3:8080/7']);
leaving.isLeaving('10.1.2.3:8080'); // => true
```
*/
export const createLeavingEndpoints = (): LeavingEndpoints => {
	const addresses = new Map<string, KnownAddress>();

	const knownOf = (address: string): KnownAddress => {
		const known = addresses.get(address) ?? createKnownAddress();
		addresses.set(address, known);
		return known;
	};

	const forgetUnlisted = (listed: ReadonlySet<string>): void => {
		const now = performance.now();
		for (const [address, known] of addresses) {
			known.unlistedSince = listed.has(address) ? undefined : known.unlistedSince ?? now;
			if (known.unlistedSince !== undefined && now - known.unlistedSince > unlistedRetentionMilliseconds) {
				addresses.delete(address);
			}
		}
	};

	const isCurrentLeaving = ({current, marks}: KnownAddress): boolean => {
		if (marks.size === 0) {
			return false;
		}

		return current === undefined || marks.has(current) || [...marks.values()].some(reportedAt => performance.now() - reportedAt < unorderedMarkMilliseconds);
	};

	return {
		updateListed(endpoints) {
			for (const {address, incarnation, state} of endpoints) {
				const known = knownOf(address);
				advanceIncarnation(known, incarnation);
				if (state === ListedState.Leaving && known.current === incarnation) {
					known.marks.set(incarnation, performance.now());
				}
			}

			forgetUnlisted(new Set(endpoints.map(({address}) => address)));
		},
		receiveMarks(marks) {
			for (const mark of marks) {
				const [address, incarnation] = splitMark(mark);
				const known = knownOf(address);
				if (!known.earlier.has(incarnation)) {
					known.marks.set(incarnation, performance.now());
				}
			}
		},
		marks: () => [...addresses]
			.filter(([, {current, marks}]) => current !== undefined && marks.has(current))
			.map(([address, {current}]) => `${address}/${current}`),
		isLeaving(address) {
			const known = addresses.get(address);
			return known !== undefined && isCurrentLeaving(known);
		},
		leavingAddresses: () => [...addresses].filter(([, known]) => isCurrentLeaving(known)).map(([address]) => address).toSorted(),
	};
};
