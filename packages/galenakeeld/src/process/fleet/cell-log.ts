import type {Cell} from '../cells/cell.js';
import type {ClaimReason} from './claim-reason.js';

/** Maximum number of runs in one line. */
const maximumLoggedRuns = 100;

/**
Returns the fields of the line that tells that a cell was claimed.

@example
```
log.info({event: FleetEvent.CellClaimed, ...describeClaim('north', token, {cause: ClaimCause.NoOwner})});
```
*/
export const describeClaim = (cell: string, token: number, {cause, formerOwner}: ClaimReason) => ({
	cell,
	token,
	cause,
	formerOwner: formerOwner?.address,
	lossCause: formerOwner?.loss?.cause,
	silentMilliseconds: formerOwner?.loss?.silentMilliseconds,
	sinceLossMilliseconds: formerOwner?.loss?.ageMilliseconds,
});

/**
Returns the fields of the line that tells that a cell was released, with its content and the runs that go on without this owner.

@example
```
log.info({event: FleetEvent.CellYielded, ...describeYield(token, cell)});
```
*/
export const describeYield = (token: number, cell: Pick<Cell, 'name' | 'observe' | 'runs'>) => {
	const {work: _, ...content} = cell.observe();
	return {
		cell: cell.name, token, ...content, runs: cell.runs().slice(0, maximumLoggedRuns),
	};
};
