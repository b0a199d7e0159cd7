import {Command} from '@oclif/core';
import {createPlatformClient, type Platform} from '@galenakeel/model/connection/platform-client.js';
import {detailOf, isFault, remedies} from '@galenakeel/model/request/fault.js';
import {exitCodeOfFault, type ExitCode} from './exit-code.js';
import {operatorFlags} from './operator-flags.js';
import {
	applyFlags, parseOperatorSettings, platformAddressOf, type OperatorFlags, type OperatorSettings,
} from './operator-settings.js';
import {readText} from './read-text.js';

/**
Reads the settings file, if one is named, and puts the flags before it.
*/
export const loadSettings = async (flags: OperatorFlags & {readonly settings?: string | undefined}): Promise<OperatorSettings> =>
	applyFlags(parseOperatorSettings(flags.settings === undefined ? '{}' : await readText(flags.settings), flags.settings ?? 'the settings'), flags);

/**
Opens the platform that the settings name.
*/
export const openPlatform = (settings: OperatorSettings): Platform =>
	createPlatformClient(platformAddressOf(settings), settings.platform.timeoutMilliseconds);

/**
The base that oclif asks for: the flags of every command, and faults written as one clear message.
*/
export abstract class OperatorCommand extends Command {
	static override enableJsonFlag = true;
	static override baseFlags = operatorFlags;

	protected override async catch(error: Error & {exitCode?: number}): Promise<unknown> {
		if (!isFault(error)) {
			return super.catch(error);
		}

		const exitCode = exitCodeOfFault(error.name);
		const detail = detailOf(error);
		const remedy = remedies[error.name];
		if (this.jsonEnabled()) {
			this.logJson({
				error: {
					kind: error.name, detail, remedy, exitCode,
				},
			});
		} else {
			this.logToStderr(`galenakeel: ${error.name}: ${detail}${detail.includes('\n') ? '\n' : '. '}${remedy}`);
		}

		return this.exit(exitCode);
	}

	/** Ends the command with a message and a code, in the form that the operator asked for. */
	protected exitWith(exitCode: ExitCode, message: string, result?: unknown): never {
		if (this.jsonEnabled()) {
			this.logJson(result ?? {error: {detail: message, exitCode}});
		} else {
			this.logToStderr(`galenakeel: ${message}`);
		}

		return this.exit(exitCode);
	}
}
