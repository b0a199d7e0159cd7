import {InstanceRole, ListedState, type ListedInstance} from '@galenakeel/model/connection/platform-client.js';
import {FaultKind, isFault} from '@galenakeel/model/request/fault.js';
import {listEntries} from '../connection/instance-status.js';
import {openPlatform} from './operator-command.js';
import type {OperatorSettings} from './operator-settings.js';

const createEntry = (operators: string): ListedInstance => ({
	name: operators, role: InstanceRole.Entry, zone: '', address: '', operators, state: ListedState.Live, incarnation: '',
});

/**
Returns the entry instances that the platform lists, or those named in the settings when the platform is unavailable or has no address.

@throws A fault of kind `PlatformUnavailable` when the platform does not answer and the settings name no instance.

@example
```
const entries = await findEntries(await loadSettings(flags));
```
*/
export const findEntries = async (settings: OperatorSettings): Promise<readonly ListedInstance[]> => {
	const configured = settings.instances.operators.map(operators => createEntry(operators));
	if (settings.platform.address === undefined && configured.length > 0) {
		return configured;
	}

	try {
		return await listEntries(openPlatform(settings));
	} catch (error) {
		if (isFault(error, FaultKind.PlatformUnavailable) && configured.length > 0) {
			return configured;
		}

		throw error;
	}
};
