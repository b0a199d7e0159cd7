import {FleetMessageKind, type FleetMessage} from '@galenakeel/model/connection/fleet-message.js';
import type {CellLayoutWatch} from './cell-layout-watch.js';
import type {CellLoads} from './cell-loads.js';
import type {ConfigurationFollower} from './configuration-follower.js';
import type {FleetView} from './fleet-view.js';
import type {JobMessage} from './job-message-receiver.js';
import type {OwnedCells} from './owned-cells.js';

export type MessageReceiverOptions = {
	readonly configuration: Pick<ConfigurationFollower, 'receive'>;
	readonly layout: Pick<CellLayoutWatch, 'offer'>;
	readonly view: Pick<FleetView, 'receiveLoad'>;
	readonly loads: Pick<CellLoads, 'recordLoad'>;
	readonly cells: Pick<OwnedCells, 'recordEndpoints'>;
	readonly receiveJobMessage: (message: JobMessage, from: string) => void;
};

/**
Creates the receiver of the messages of peers, which passes each on to what it concerns.

@example
```
const receiveMessage = createMessageReceiver(options);
receiveMessage(message, '10.1.0.13:7720');
```
*/
export const createMessageReceiver = ({configuration, layout, view, loads, cells, receiveJobMessage}: MessageReceiverOptions) => (message: FleetMessage, from: string): void => {
	switch (message.kind) {
		case FleetMessageKind.Heartbeat: {
			layout.offer(message.cellCounts);
			for (const {cell, load} of message.claims) {
				loads.recordLoad(cell, load);
			}

			break;
		}

		case FleetMessageKind.KeepAlive:
		case FleetMessageKind.ConfirmationRequest: {
			// The links process them.
			break;
		}

		case FleetMessageKind.ConfigurationVersion:
		case FleetMessageKind.ConfigurationRequest:
		case FleetMessageKind.Configuration: {
			configuration.receive(message, from);
			break;
		}

		case FleetMessageKind.Load: {
			view.receiveLoad(from, message.cell, message.load);
			loads.recordLoad(message.cell, message.load);
			break;
		}

		case FleetMessageKind.Endpoints: {
			cells.recordEndpoints(message.cell, message.entries);
			break;
		}

		case FleetMessageKind.Submit:
		case FleetMessageKind.Cancel:
		case FleetMessageKind.Started:
		case FleetMessageKind.TaskSucceeded:
		case FleetMessageKind.Redirect:
		case FleetMessageKind.Refuse:
		case FleetMessageKind.End:
		case FleetMessageKind.Dropped:
		case FleetMessageKind.Superseded: {
			receiveJobMessage(message, from);
		}
	}
};
