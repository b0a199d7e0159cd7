import assert from 'node:assert/strict';
import {syncBuiltinESMExports} from 'node:module';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {install, type Clock} from '@sinonjs/fake-timers';
import {createSeededRandom} from '../../../request/__tests__/seeded-random.js';
import {createSimulatedConfigurationFleet, type SimulatedConfigurationFleet, type SimulatedFleetOptions} from './simulated-configuration-fleet.js';
import {createSimulatedConfigurationStore, StoreService, type SimulatedConfigurationStore} from './simulated-configuration-store.js';

type SpreadWorld = {
	spreadClock: Clock | undefined;
	fleetOptions: Omit<SimulatedFleetOptions, 'store'>;
	configurationStore: SimulatedConfigurationStore;
	configurationFleet: SimulatedConfigurationFleet | undefined;
};

const services: Readonly<Record<string, StoreService>> = {
	'serves them': StoreService.Full,
	'does not tell their watches of the change': StoreService.MissedChange,
	'answers their reads from 3 s before': StoreService.StaleReads,
	'turns them away': StoreService.None,
};
const staleMilliseconds = 3000;
/** Before the change, so that waits that are in progress by then are affected too. */
const changeAfterMilliseconds = 2000;
/** Spreads the affected daemons over zones and roles. */
const spreadStep = 61;
const applyMilliseconds = 2000;

Given('{int} daemons in {int} zones with {int} owners each, on links that carry a configuration in {int} ms', function (this: SpreadWorld, daemons: number, zones: number, ownersPerZone: number, bodyMilliseconds: number) {
	const random = createSeededRandom(daemons);
	this.fleetOptions = {
		daemons, zones, ownersPerZone, bodyMilliseconds, applyMilliseconds, random: random.next,
	};
});

Given('{float} of them have a store that {}', function (this: SpreadWorld, share: number, fault: string) {
	const isAffected = (daemon: string): boolean => (Number(daemon.slice(1)) * spreadStep) % 100 < share * 100;
	const isChanging = () => this.spreadClock !== undefined && this.spreadClock.now >= changeAfterMilliseconds;
	this.configurationStore = createSimulatedConfigurationStore(daemon => isAffected(daemon) && isChanging() ? services[fault]! : StoreService.Full, staleMilliseconds);
});

When('version {int} is acknowledged {int} ms after the start', async function (this: SpreadWorld, version: number, milliseconds: number) {
	this.spreadClock = install({toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']});
	syncBuiltinESMExports();
	this.configurationFleet = createSimulatedConfigurationFleet({...this.fleetOptions, store: this.configurationStore});
	await this.spreadClock.tickAsync(milliseconds);
	assert.deepEqual(this.configurationFleet.behind(version - 1), []);
	this.configurationStore.write(version);
});

Then('all daemons have version {int} within {int} ms', async function (this: SpreadWorld, version: number, milliseconds: number) {
	await this.spreadClock!.tickAsync(milliseconds);
	assert.deepEqual(this.configurationFleet!.behind(version), [], 'daemons that are behind');
});

Then('no configuration was sent from daemon to daemon', function (this: SpreadWorld) {
	assert.equal(this.configurationFleet!.bodies(), 0);
});

After(function (this: Partial<SpreadWorld>) {
	this.configurationFleet?.close();
	if (this.spreadClock) {
		this.spreadClock.uninstall();
		syncBuiltinESMExports();
	}
});
