#!/usr/bin/env node
import process from 'node:process';
import {findSettingsPath} from '@galenakeel/platform/process/settings-path.js';
import {ExitCode, runFleetDaemon} from './fleet-main.js';

/** Ends the process with the exit code of the daemon. */
const run = async (): Promise<void> => {
	const path = process.argv[2] ?? findSettingsPath();
	if (path === undefined) {
		process.stderr.write('usage: galenakeeld-fleet [SETTINGS]\n');
		process.exit(ExitCode.Usage);
	}

	process.exit(await runFleetDaemon(path));
};

void run();
