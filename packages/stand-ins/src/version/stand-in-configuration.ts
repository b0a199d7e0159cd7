/**
A queue of a configuration.
*/
export type StandInQueue = {
	readonly name: string;
	readonly pathPrefix: string;
	readonly priority: number;
	readonly mostAttempts: number;
	/** Factor of the run time in the latency objective. */
	readonly objectiveFactor: number;
	readonly objectiveMilliseconds: number;
};

/**
Creates a configuration with several queues on one host, as operators write it into the platform's store. All of them use the service `sheets`.

@example
```
store.put('op', 'config', createQueueConfiguration(1, 'sheets.example', queues));
```
*/
export const createQueueConfiguration = (version: number, host: string, queues: readonly StandInQueue[]): unknown => ({
	Version: version,
	Routes: queues.map(({name, pathPrefix, priority, mostAttempts, objectiveFactor, objectiveMilliseconds}) => ({
		Name: name, Host: host, PathPrefix: pathPrefix, Kind: 'unsafe', TimeoutMs: 5000, TargetLatencyMs: objectiveMilliseconds, Service: 'sheets', Priority: priority, MaxAttempts: mostAttempts, SlackFactor: objectiveFactor,
	})),
	Services: [{Name: 'sheets', EnforcesCapacity: true}],
	Limits: {
		MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
	},
});

/**
Creates a configuration with one queue, as operators write it into the platform's store.

@example
```
store.put('op', 'config', createStandInConfiguration(1, 'sheets.example', '/sheets/'));
```
*/
export const createStandInConfiguration = (version: number, host: string, pathPrefix: string): unknown => createQueueConfiguration(version, host, [{
	name: 'sheets', pathPrefix, priority: 0, mostAttempts: 2, objectiveFactor: 1.6, objectiveMilliseconds: 5000,
}]);

/**
Creates the body of a job submission. All of its tasks have the same run time and processor demand.

@param milliseconds Run time of a task at speed 1.
@param processor Processor demand of a task, in thousandths of a core.
@param steps Number of tasks of each step, and the positions of the steps that it depends on.
@param estimateMilliseconds Estimate of the run time that the job states.
*/
export const createStandInJob = (milliseconds: number, processor: number, steps: ReadonlyArray<{readonly tasks: number; readonly after?: readonly number[]}>, estimateMilliseconds = milliseconds): unknown => ({
	BestEffort: true,
	Spec: `${milliseconds} ${processor}`,
	Phases: steps.map(({tasks, after}) => ({
		Count: tasks, Cpu: processor, EstimateMs: estimateMilliseconds, ...(after && {After: after}),
	})),
});
