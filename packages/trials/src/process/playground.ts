import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {startFleet, type Fleet} from './fleet.js';
import {isPlaygroundCommand, PlaygroundCommand, runPlaygroundCommand} from './playground-commands.js';

const service = 'paysheet';

const say = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

const introduce = (fleet: Fleet, version: number): void => {
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
	say(`Type one of: ${Object.values(PlaygroundCommand).join(', ')}. Ctrl-C ends it.`);
};

const readCommands = async (fleet: Fleet): Promise<void> => {
	for await (const line of createInterface({input: process.stdin})) {
		const command = line.trim();
		say(isPlaygroundCommand(command) ? await runPlaygroundCommand(command, fleet, service) : `"${command}" is not one of: ${Object.values(PlaygroundCommand).join(', ')}`);
	}
};

const fleet = await startFleet({
	zones: ['zone-a', 'zone-b', 'zone-c'], daemonsPerZone: 2, endpointsPerZone: 2, slots: 8, isProxied: true,
});
try {
	introduce(fleet, await fleet.accept(service));
	void readCommands(fleet);
	await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
} finally {
	await fleet.stop();
	process.stdin.destroy();
}
