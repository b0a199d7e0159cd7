import {PlatformOutcome, type Platform} from '@galenakeel/model/connection/platform-client.js';

/**
Calls to the platform; the values are the `call` label in metrics.
*/
export enum PlatformCallKind {
	/** Reads rows by key. */
	ReadRows = 'read-rows',
	/** Reads rows by key prefix. */
	ScanRows = 'scan-rows',
	/** Writes rows atomically if all conditions are met. */
	Transact = 'transact',
	/** Lists the instances. */
	ListInstances = 'list-instances',
	/** Reads an object. */
	ReadObject = 'read-object',
	/** Writes a new object. */
	WriteObject = 'write-object',
}

/**
Wraps a platform client so that each call is counted by kind and outcome. A read that throws is counted as `Unknown`.

@example
```
const platform = countPlatformCalls(createPlatformClient('127.0.0.1:7000', 1000), metrics.countPlatformCall);
```
*/
export const countPlatformCalls = (platform: Platform, count: (call: PlatformCallKind, outcome: PlatformOutcome) => void): Platform => {
	const read = async <Value>(kind: PlatformCallKind, call: () => Promise<Value>): Promise<Value> => {
		try {
			const value = await call();
			count(kind, PlatformOutcome.Done);
			return value;
		} catch (error) {
			count(kind, PlatformOutcome.Unknown);
			throw error;
		}
	};

	return {
		readRows: async keys => read(PlatformCallKind.ReadRows, async () => platform.readRows(keys)),
		scanRows: async (prefix, limit, after) => read(PlatformCallKind.ScanRows, async () => platform.scanRows(prefix, limit, after)),
		listInstances: async () => read(PlatformCallKind.ListInstances, platform.listInstances),
		readObject: async key => read(PlatformCallKind.ReadObject, async () => platform.readObject(key)),
		async transact(conditions, writes) {
			const result = await platform.transact(conditions, writes);
			count(PlatformCallKind.Transact, result.outcome);
			return result;
		},
		async writeObject(key, value) {
			const outcome = await platform.writeObject(key, value);
			count(PlatformCallKind.WriteObject, outcome);
			return outcome;
		},
	};
};
