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
Reads the settings file, if one is given, and applies the flags, which take precedence over it.
*/
export const loadSettings = async (flags: OperatorFlags & {readonly settings?: string | undefined}): Promise<OperatorSettings> =>
	applyFlags(parseOperatorSettings(flags.settings === undefined ? '{}' : await readText(flags.settings), flags.settings ?? 'the settings'), flags);

/**
Creates a client for the platform whose address the settings contain.

@throws A fault of kind `InvalidConfiguration` when they contain none.
*/
export const openPlatform = (settings: OperatorSettings): Platform =>
	createPlatformClient(platformAddressOf(settings), settings.platform.timeoutMilliseconds);

/**
The base class of all commands (oclif requires a class). It adds the common flags, and reports a fault as one message with its remedy instead of a stack trace.
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

	/** Exits with the code, after the message on standard error or, with `--json`, the result on standard output. */
	protected exitWith(exitCode: ExitCode, message: string, result?: unknown): never {
		if (this.jsonEnabled()) {
			this.logJson(result ?? {error: {detail: message, exitCode}});
		} else {
			this.logToStderr(`galenakeel: ${message}`);
		}

		return this.exit(exitCode);
	}
}
