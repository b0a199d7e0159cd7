import {FleetMessageKind, type FleetMessage, type JobUpdate} from '@galenakeel/model/connection/fleet-message.js';
import type {HeldJobs} from './held-jobs.js';
import type {OwnedCells} from './owned-cells.js';

/**
A message about a job: an order of its holder, or an update of its owner.
*/
export type JobMessage = Extract<FleetMessage, {readonly kind: FleetMessageKind.Submit | FleetMessageKind.Cancel}> | JobUpdate;

export type JobMessageReceiverOptions = {
	readonly cells: Pick<OwnedCells, 'get' | 'getInTerm' | 'raiseTokenAbove'>;
	readonly heldJobs: Pick<HeldJobs, 'deliver'>;
};

/**
Creates the receiver of messages about jobs. It passes orders to the cells that this daemon owns, and updates to the jobs that it holds.

@example
```
const receiveJobMessage = createJobMessageReceiver({cells, heldJobs});
receiveJobMessage(message, '10.1.0.13:7720');
```
*/
export const createJobMessageReceiver = ({cells, heldJobs}: JobMessageReceiverOptions) => (message: JobMessage, from: string): void => {
	switch (message.kind) {
		case FleetMessageKind.Submit: {
			cells.raiseTokenAbove(message.cell, message.order.highestToken);
			cells.getInTerm(message.cell, message.term)?.submit(from, message.order);
			break;
		}

		case FleetMessageKind.Cancel: {
			cells.get(message.cell)?.cancel(from, message);
			break;
		}

		case FleetMessageKind.Started:
		case FleetMessageKind.TaskSucceeded:
		case FleetMessageKind.Redirect:
		case FleetMessageKind.Refuse:
		case FleetMessageKind.End:
		case FleetMessageKind.Dropped:
		case FleetMessageKind.Superseded: {
			heldJobs.deliver(from, message);
		}
	}
};
