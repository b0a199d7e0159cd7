import {Args} from '@oclif/core';
import type {RequestRecord} from '@galenakeel/model/process/request-record.js';
import {findRecords, type RecordSearch} from '../../connection/request-records.js';
import {formatTable} from '../../request/format-table.js';
import {ExitCode} from '../exit-code.js';
import {findEntries} from '../find-entries.js';
import {instanceFlags} from '../operator-flags.js';
import {loadSettings, OperatorCommand} from '../operator-command.js';

/**
Shows the records of a request or job from all instances.
*/
export default class Explain extends OperatorCommand {
	static override description = 'Explain a recent request or job: which instances and endpoints handled it, the time and result of each step, and the reason of a failure. Queries all instances.';
	static override examples = ['<%= config.bin %> <%= command.id %> sheet-2041', '<%= config.bin %> <%= command.id %> sheet-2041 --json'];
	static override flags = instanceFlags;
	static override args = {id: Args.string({description: 'identifier of the job, or of the request', required: true})};

	async run(): Promise<RecordSearch> {
		const {args: {id}, flags} = await this.parse(Explain);
		const settings = await loadSettings(flags);
		const search = await findRecords(await findEntries(settings), id, settings.instances.timeoutMilliseconds);
		const unreachableNote = search.unreachable.length > 0 ? `; ${search.unreachable.join(', ')} did not answer and may have further records` : '';
		if (search.records.length === 0) {
			this.exitWith(ExitCode.NotFound, `no instance remembers "${id}"${unreachableNote}; instances keep only recent requests and jobs, and lose them at a restart`, search);
		}

		this.log(search.records.map(record => formatRecord(record)).join('\n\n'));
		if (unreachableNote !== '') {
			this.logToStderr(unreachableNote.slice(2));
		}

		return search;
	}
}

const formatRecord = (record: RequestRecord): string => [
	`${record.identifier} for ${record.service} on ${record.instance}, begun at ${record.startedAt}: ${record.outcome ?? 'no answer yet'}`,
	...(record.fault === undefined ? [] : [`why: ${record.fault}: ${record.detail ?? ''}`]),
	formatTable(['FROM MS', 'TO MS', 'STEP', 'TIMES', 'ENDPOINT', 'DETAIL'], record.steps.map(step => [
		step.at.toFixed(1),
		(step.lastAt ?? step.at).toFixed(1),
		step.kind,
		String(step.count ?? 1),
		step.endpoint ?? '',
		step.detail ?? '',
	])),
].join('\n');
