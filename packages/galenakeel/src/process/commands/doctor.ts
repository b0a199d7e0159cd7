import {Flags} from '@oclif/core';
import {parseDaemonSettings} from 'galenakeeld/process/daemon-settings.js';
import {formatTable} from '../../request/format-table.js';
import {
	runCheck, checkFleet, Verdict, type Finding,
} from '../doctor-checks.js';
import {ExitCode} from '../exit-code.js';
import {loadSettings, OperatorCommand, openPlatform} from '../operator-command.js';
import {readText} from '../read-text.js';

/**
Checks the settings files and the fleet, and prints a remedy for each problem.
*/
export default class Doctor extends OperatorCommand {
	static override description = 'Check daemons\' settings files, the platform, the documents, and every entry instance with its peers and clock, and print a remedy for each problem found.';
	static override examples = [
		'<%= config.bin %> <%= command.id %>',
		'<%= config.bin %> <%= command.id %> --daemon-settings /etc/galenakeeld.jsonc',
		'<%= config.bin %> <%= command.id %> --json',
	];

	static override flags = {
		'daemon-settings': Flags.string({description: 'settings file of a daemon to check; can be given several times', multiple: true, helpValue: 'FILE'}),
	};

	async run(): Promise<readonly Finding[]> {
		const {flags} = await this.parse(Doctor);
		const settings = await loadSettings(flags);
		const files = flags['daemon-settings'] ?? [];
		const isFleetChecked = files.length === 0 || settings.platform.address !== undefined;
		const findings = [
			...await Promise.all(files.map(async file => checkDaemonSettings(file))),
			...isFleetChecked ? await checkFleet(openPlatform(settings), settings.instances.timeoutMilliseconds) : [],
		];
		const wrong = findings.filter(({verdict}) => verdict !== Verdict.Good);
		this.log(formatTable(['SUBJECT', 'VERDICT', 'DETAIL'], findings.map(({subject, verdict, detail}) => [subject, verdict, detail.split('\n')[0]!])));
		for (const {subject, detail, remedy} of wrong) {
			this.log(`\n${subject}: ${detail}\n  ${remedy}`);
		}

		if (findings.some(({verdict}) => verdict === Verdict.Bad)) {
			this.exitWith(ExitCode.ProblemsFound, 'problems found', findings);
		}

		return findings;
	}
}

const checkDaemonSettings = async (file: string): Promise<Finding> => runCheck('daemon settings', async () => {
	const {instance, zone} = parseDaemonSettings(await readText(file), file);
	return `${file} is valid, for ${instance} in ${zone}`;
});
