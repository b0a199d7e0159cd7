import assert from 'node:assert/strict';
import {type DataTable, Given, Then} from '@cucumber/cucumber';
import {
	ClaimStep, decideClaim, decideClaims, findOwner, isTakeoverSafe, LossCause, type Claim, type Claimant,
} from '../cell-claims.js';

type ClaimWorld = {
	claimants: readonly Claimant[];
};

const parseClaims = (text: string): ReadonlyMap<string, Claim> => new Map(text.split(',').map(part => part.trim()).filter(part => part !== '').map(part => {
	const [cell, token] = part.split('=');
	return [cell!, {token: Number(token), term: Number(token)}];
}));

Given('the daemons', function (this: ClaimWorld, table: DataTable) {
	this.claimants = table.hashes().map(row => ({
		address: row.address!, zone: row.zone!, startedAt: Number(row.started), processor: Number(row.processor ?? 1000), isLeaving: row.leaving === 'yes', claims: parseClaims(row.claims!),
	}));
});

Then('{string} is to {string} the cell {string}', function (this: ClaimWorld, address: string, step: string, cell: string) {
	const self = this.claimants.find(claimant => claimant.address === address)!;
	assert.equal(decideClaim(cell, self, this.claimants), step);
});

Then('of the cells {string} the daemons claim', function (this: ClaimWorld, names: string, table: DataTable) {
	for (const [address, claimed] of table.raw()) {
		const self = this.claimants.find(claimant => claimant.address === address)!;
		const steps = decideClaims(names.split(', '), self, this.claimants);
		assert.equal([...steps].filter(([, step]) => step === ClaimStep.Claim).map(([cell]) => cell).join(', '), claimed);
	}
});

Then('the owner of {string} is {string}', function (this: ClaimWorld, cell: string, address: string) {
	assert.equal(findOwner(cell, this.claimants)?.address, address);
});

Then('after an owner that {string} for {int} ms, a daemon {string} that {string} and {string} {string} take over', (loss: string, ageMilliseconds: number, place: string, peers: string, reach: string, may: string) => {
	const isSafe = isTakeoverSafe(
		{cause: loss === 'has ended' ? LossCause.Ended : LossCause.Silent, ageMilliseconds},
		{
			isOfZone: place === 'of the zone',
			hasReachablePeers: peers === 'has peers',
			reachesEndpoints: reach !== 'doesn\'t reach the endpoints',
			sinceProbeFailureMilliseconds: reach === 'has just come to reach them' ? 100 : Number.POSITIVE_INFINITY,
		},
	);
	assert.equal(isSafe, may === 'may');
});
