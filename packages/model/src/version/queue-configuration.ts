/**
A queue: the host and path to which callers submit jobs, and how these jobs are served.
*/
export type Queue = {
	readonly name: string;
	/** Host header of its callers, in lower case. */
	readonly host: string;
	readonly pathPrefix: string;
	readonly service: string;
	/** 0 is served first. */
	readonly priority: number;
	/** Number of failed runs of a task after which its job fails. */
	readonly mostAttempts: number;
	/** The target time of a job is the duration of its critical path times this factor, plus `objectiveMilliseconds`. */
	readonly objectiveFactor: number;
	/** Constant part of the target time of a job, in milliseconds. */
	readonly objectiveMilliseconds: number;
};

/**
One version of the operators' configuration.
*/
export type QueueConfiguration = {
	readonly version: number;
	readonly queues: readonly Queue[];
	/** Number of queues that can't be read, and so are missing in the list. */
	readonly unreadableQueues: number;
	readonly limits: {
		readonly headerBytes: number;
		readonly bodyBytes: number;
		readonly headerMilliseconds: number;
		readonly idleMilliseconds: number;
	};
};

const queuesOfConfigurations = new WeakMap<QueueConfiguration, ReadonlyMap<string, readonly Queue[]>>();

/** The queues of each host, grouped once for a configuration. */
const queuesByHost = (configuration: QueueConfiguration): ReadonlyMap<string, readonly Queue[]> => {
	const known = queuesOfConfigurations.get(configuration);
	if (known) {
		return known;
	}

	const groups = new Map<string, Queue[]>();
	for (const queue of configuration.queues) {
		const group = groups.get(queue.host);
		if (group) {
			group.push(queue);
		} else {
			groups.set(queue.host, [queue]);
		}
	}

	queuesOfConfigurations.set(configuration, groups);
	return groups;
};

/**
Finds the queue of a request: among the queues of its host, the one with the longest matching path prefix.

@example
```
findQueue(configuration, 'sheets.example', '/rerate/5c0e7a21d94b36f8')?.name; // => 'rerate'
```
*/
export const findQueue = (configuration: QueueConfiguration, host: string, path: string): Queue | undefined => {
	let longest: Queue | undefined;
	for (const queue of queuesByHost(configuration).get(host) ?? []) {
		const isMatch = path.startsWith(queue.pathPrefix);
		if (isMatch && (!longest || queue.pathPrefix.length > longest.pathPrefix.length)) {
			longest = queue;
		}
	}

	return longest;
};
