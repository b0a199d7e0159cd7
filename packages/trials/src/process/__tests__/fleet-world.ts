import {
	After, Given, setDefaultTimeout, setWorldConstructor, World,
} from '@cucumber/cucumber';
import type {CallerResult} from '../../request/caller.js';
import {startFleet, type Fleet, type FleetSize} from '../fleet.js';

const scenarioTimeoutMilliseconds = 60_000;
const zoneNames = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];

setDefaultTimeout(scenarioTimeoutMilliseconds);

/**
What the steps of a scenario share.
*/
export class FleetWorld extends World {
	fleet: Fleet | undefined;
	results: CallerResult[] = [];
	identifier = '';
	exitCode: number | string = '';
	output = '';

	get running(): Fleet {
		if (!this.fleet) {
			throw new Error('the scenario starts no fleet; begin it with "Given a fleet of …"');
		}

		return this.fleet;
	}

	get lastResult(): CallerResult {
		return this.results.at(-1)!;
	}

	async start(size: Partial<FleetSize>): Promise<void> {
		this.fleet = await startFleet({
			zones: zoneNames.slice(0, 2), daemonsPerZone: 1, endpointsPerZone: 1, slots: 8, ...size,
		});
	}
}

setWorldConstructor(FleetWorld);

Given('a fleet of {int} zone(s) with {int} daemon(s) and {int} endpoint(s) each', async function (this: FleetWorld, zones: number, daemonsPerZone: number, endpointsPerZone: number) {
	await this.start({zones: zoneNames.slice(0, zones), daemonsPerZone, endpointsPerZone});
});

After(async function (this: FleetWorld) {
	await this.fleet?.stop();
});
