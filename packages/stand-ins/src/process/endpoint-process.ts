import process from 'node:process';
import {EndpointCommandKind, type EndpointCommand, type EndpointReport} from './endpoint-command.js';
import {startEndpointStandIn, type EndpointStandIn, type EndpointStart} from './endpoint-stand-in.js';

const reportIntervalMilliseconds = 100;
const standIns = new Map<string, EndpointStandIn>();
const reportedCounts = new Map<string, number>();

const takeNewStarts = (): readonly EndpointStart[] => [...standIns.values()].flatMap(({address, starts}) => {
	const all = starts();
	const fresh = all.slice(reportedCounts.get(address) ?? 0);
	reportedCounts.set(address, all.length);
	return fresh;
});

const report = (message: EndpointReport): void => {
	process.send!(message);
};

const execute = async (command: EndpointCommand): Promise<void> => {
	switch (command.kind) {
		case EndpointCommandKind.Start: {
			standIns.set(command.address, await startEndpointStandIn(command.address, command.options));
			report({listening: command.address, starts: []});
			break;
		}

		case EndpointCommandKind.SetBehaviour: {
			standIns.get(command.address)!.behaviour = command.behaviour;
		}
	}
};

process.on('message', (command: EndpointCommand) => {
	void execute(command);
});
process.once('disconnect', () => {
	process.exit();
});
setInterval(() => {
	const starts = takeNewStarts();
	if (starts.length > 0) {
		report({starts});
	}
}, reportIntervalMilliseconds);
