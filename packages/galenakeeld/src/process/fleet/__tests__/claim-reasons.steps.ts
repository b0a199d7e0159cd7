import assert from 'node:assert/strict';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import type {ActiveRunDescription} from '../../cells/cell-observation.js';
import {RunState} from '../../cells/endpoint-run.js';
import type {Claimant, LossCause} from '../cell-claims.js';
import {describeClaim, describeYield} from '../cell-log.js';
import {createOwnedCells, type OwnedCells} from '../owned-cells.js';
import {createIdleCell} from './idle-cell.js';

type ReasonWorld = {
	reasonClock: Clock;
	ownedCells: OwnedCells;
	self: () => Claimant;
	peers: Claimant[];
	runs: ActiveRunDescription[];
	claimed: Array<ReturnType<typeof describeClaim>>;
	released: Array<ReturnType<typeof describeYield>>;
};

const startMilliseconds = 1_700_000_000_000;
const ageMilliseconds = 5000;

const ignore = (): void => {
	// The scenarios check only the log.
};

const createClaimant = (address: string, zone: string, owned: string | undefined, token: number): Claimant => ({
	address, zone, startedAt: 1, processor: 1000, isLeaving: false, claims: new Map(owned === undefined ? [] : [[owned, {token, term: token}]]),
});

const review = (world: ReasonWorld): void => {
	world.ownedCells.reviewClaims(world.self, world.peers, {ageMilliseconds, mayClaim: true, mayHandOver: true});
};

Given('a daemon {string} of the zone {string} that owns nothing', function (this: ReasonWorld, address: string, zone: string) {
	this.reasonClock = install({now: startMilliseconds, toFake: ['performance', 'Date']});
	this.peers = [];
	this.runs = [];
	this.claimed = [];
	this.released = [];
	this.ownedCells = createOwnedCells({
		cells: () => [zone],
		cellOf: entry => entry.zone,
		canReachEndpoints: async () => true,
		createCell: name => createIdleCell(name, {runs: () => this.runs}),
		onClaimed: (cell, token, reason) => {
			this.claimed.push(describeClaim(cell, token, reason));
		},
		onYielded: (token, cell) => {
			this.released.push(describeYield(token, cell));
		},
	});
	this.self = () => ({...createClaimant(address, zone, undefined, 0), claims: this.ownedCells.claimsByCell()});
});

After(function (this: Partial<ReasonWorld>) {
	this.reasonClock?.uninstall();
});

Given('the peer {string} of the zone {string} owns {string}', function (this: ReasonWorld, address: string, zone: string, cell: string) {
	this.peers.push(createClaimant(address, zone, cell, 1));
});

Given('the peer {string} of the zone {string} owns {string} with a higher token', function (this: ReasonWorld, address: string, zone: string, cell: string) {
	this.peers.push(createClaimant(address, zone, cell, this.ownedCells.claimsByCell().get(cell)!.token + 1));
});

When('the daemon reviews its claims', function (this: ReasonWorld) {
	review(this);
});

When('{string} is lost as {string} after {int} ms', function (this: ReasonWorld, address: string, cause: LossCause, milliseconds: number) {
	const lost = this.peers.find(peer => peer.address === address)!;
	this.peers = this.peers.filter(peer => peer !== lost);
	this.ownedCells.recordLoss(lost, cause, milliseconds);
});

When('{int} ms pass until the next review', function (this: ReasonWorld, milliseconds: number) {
	this.reasonClock.tick(milliseconds);
	review(this);
});

When('a job arrives in {string} with a token above that of the claim', function (this: ReasonWorld, cell: string) {
	this.ownedCells.raiseTokenAbove(cell, this.ownedCells.claimsByCell().get(cell)!.token + 1);
});

When('endpoints of {string} accept another owner', function (this: ReasonWorld, cell: string) {
	this.ownedCells.reclaimOrYield(cell, this.peers.length > 0);
});

When('an endpoint of {string} runs attempt {int} of the task {string}', function (this: ReasonWorld, _: string, attempt: number, task: string) {
	this.runs.push({
		job: '5c0e7a21d94b36f8', task, attempt, endpoint: 'i-1', state: RunState.Running,
	});
});

Then('no claim was logged', function (this: ReasonWorld) {
	assert.deepEqual(this.claimed, []);
});

Then('the claim of {string} was logged with the cause {string}', function (this: ReasonWorld, cell: string, cause: string) {
	const line = this.claimed.at(-1)!;
	assert.deepEqual([line.cell, line.cause], [cell, cause]);
});

Then('it names {string}, lost as {string} after {int} ms, {int} ms before', function (this: ReasonWorld, address: string, cause: string, silent: number, ago: number) {
	const {formerOwner, lossCause, silentMilliseconds, sinceLossMilliseconds} = this.claimed.at(-1)!;
	assert.deepEqual([formerOwner, lossCause, silentMilliseconds, sinceLossMilliseconds], [address, cause, silent, ago]);
});

Then('it names {string}, which is not lost', function (this: ReasonWorld, address: string) {
	const {formerOwner, lossCause} = this.claimed.at(-1)!;
	assert.deepEqual([formerOwner, lossCause], [address, undefined]);
});

Then('the release of {string} was logged with attempt {int} of the task {string}', function (this: ReasonWorld, cell: string, attempt: number, task: string) {
	const line = this.released.at(-1)!;
	assert.deepEqual([line.cell, line.tasksActive, line.runs[0]!.attempt, line.runs[0]!.task], [cell, 1, attempt, task]);
});
