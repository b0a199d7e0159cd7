/**
Creates a configuration with one queue, as operators write it into the platform's store.

@example
```
store.put('op', 'config', createStandInConfiguration(1, 'sheets.example', '/sheets/'));
```
*/
export const createStandInConfiguration = (version: number, host: string, pathPrefix: string): unknown => ({
	Version: version,
	Routes: [{
		Name: 'sheets', Host: host, PathPrefix: pathPrefix, Kind: 'unsafe', TimeoutMs: 5000, TargetLatencyMs: 5000, Service: 'sheets', MaxAttempts: 2, SlackFactor: 1.6,
	}],
	Services: [{Name: 'sheets', EnforcesCapacity: true}],
	Limits: {
		MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000,
	},
});

/**
Creates the body of a job submission. All of its tasks have the same run time and processor demand.

@param milliseconds Run time of a task at speed 1.
@param processor Processor demand of a task, in thousandths of a core.
@param steps Number of tasks of each step, and the positions of the steps that it depends on.
*/
export const createStandInJob = (milliseconds: number, processor: number, steps: ReadonlyArray<{readonly tasks: number; readonly after?: readonly number[]}>): unknown => ({
	BestEffort: true,
	Spec: `${milliseconds} ${processor}`,
	Phases: steps.map(({tasks, after}) => ({
		Count: tasks, Cpu: processor, EstimateMs: milliseconds, ...(after && {After: after}),
	})),
});
