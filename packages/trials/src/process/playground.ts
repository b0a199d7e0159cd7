import {once} from 'node:events';
import process from 'node:process';
import {startFleet} from './fleet.js';

const service = 'paysheet';

const say = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

const fleet = await startFleet({
	zones: ['zone-a', 'zone-b', 'zone-c'], daemonsPerZone: 2, endpointsPerZone: 2, slots: 8,
});
try {
	const version = await fleet.accept(service);
	say(`A fleet of 3 availability zones is serving; version ${version} of the document of ${service} is accepted.`);
	say('');
	say(`export GALENAKEEL_PLATFORM=${fleet.platform.address}`);
	say(`export GALENAKEEL_CALLERS=${fleet.balancer.address}`);
	say('');
	for (const {instance, zone, callers, operators, child} of fleet.daemons) {
		say(`${instance}  ${zone}  callers ${callers}  operators ${operators}  process ${child.pid}`);
	}

	say('');
	say(`Settings and logs of the daemons are in ${fleet.directory}`);
	say('Ctrl-C ends it.');
	await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
} finally {
	await fleet.stop();
}
