import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import type {Clock} from '@sinonjs/fake-timers';
import type {Claimant} from '../cell-claims.js';
import type {OwnedCells} from '../owned-cells.js';

type OwnedWorld = {
	reasonClock: Clock;
	ownedCells: OwnedCells;
	self: () => Claimant;
	peers: Claimant[];
	terms: Array<number | undefined>;
};

const termOf = ({ownedCells}: OwnedWorld, cell: string): number | undefined => ownedCells.claimsByCell().get(cell)?.term;

When('the daemon gives up {string}, and claims it again after {int} ms', function (this: OwnedWorld, cell: string, milliseconds: number) {
	this.terms = [termOf(this, cell)];
	this.ownedCells.reclaimOrYield(cell, false);
	this.reasonClock.tick(milliseconds);
	this.ownedCells.reviewClaims(this.self, this.peers, {ageMilliseconds: milliseconds, mayClaim: true, mayHandOver: true});
	this.terms.push(termOf(this, cell));
	assert.ok(this.terms.every(term => term !== undefined));
});

Then('a submission to its first term of {string} reaches no cell', function (this: OwnedWorld, cell: string) {
	assert.equal(this.ownedCells.getInTerm(cell, this.terms[0]!), undefined);
});

Then('a submission to its second term of {string} reaches the cell', function (this: OwnedWorld, cell: string) {
	assert.equal(this.ownedCells.getInTerm(cell, this.terms[1]!)?.name, cell);
});
