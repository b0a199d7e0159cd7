import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {selectPeers, type PeerCandidate} from '../peer-selection.js';

type SelectionWorld = {
	candidates: readonly PeerCandidate[];
};

const zoneName = (zone: number): string => `zone-${zone}`;

Given('{int} zones of {int} daemons', function (this: SelectionWorld, zones: number, daemons: number) {
	this.candidates = Array.from({length: zones * daemons}, (_, position) => ({
		address: `10.0.0.${position}:1`, zone: zoneName(Math.floor(position / daemons)), isOwner: false,
	}));
});

Then('the first daemon of zone {int}, which owns {word} cell, selects {string} daemons of the zones', function (this: SelectionWorld, zone: number, cells: string, counts: string) {
	const self = {...this.candidates.find(one => one.zone === zoneName(zone))!, isOwner: cells === 'a'};
	const selected = new Set(selectPeers(self, this.candidates));
	const zones = [...new Set(this.candidates.map(one => one.zone))];
	assert.equal(zones.map(name => this.candidates.filter(one => one.zone === name && selected.has(one.address)).length).join(', '), counts);
});

Then('no daemon is selected by more than {int} daemons that own no cell', function (this: SelectionWorld, maximum: number) {
	const selections = this.candidates.flatMap(self => selectPeers(self, this.candidates));
	for (const {address} of this.candidates) {
		assert.ok(selections.filter(one => one === address).length <= maximum);
	}
});
