import {Buffer} from 'node:buffer';
import {request as httpRequest} from 'node:http';
import {FaultKind, createFault} from '../request/fault.js';
import {parseJson} from './json.js';

/**
Result of a write to the platform.
*/
export enum PlatformOutcome {
	/** The platform confirmed the write. */
	Done = 'done',
	/** A condition was not met; nothing was written. */
	Refused = 'refused',
	/** The call was not confirmed; it may have taken effect. */
	Unknown = 'unknown',
}

/**
A row of the platform's table.
*/
export type TableRow = {
	readonly key: string;
	readonly value: string;
	/** Increases with each write of the row. */
	readonly version: number;
};

/**
A condition of a transaction: the version that the row must have, or 0 if it must be absent.
*/
export type TableCondition = {readonly key: string; readonly version: number};

/**
A write of a transaction: a new value, or no value to delete the row.
*/
export type TableWrite = {readonly key: string; readonly value?: string};

/**
State of an instance on the platform's list.
*/
export enum ListedState {
	/** The instance may be given work. */
	Live = 'live',
	/** The instance is about to shut down. */
	Leaving = 'leaving',
}

/**
Role of an instance on the platform's list.
*/
export enum InstanceRole {
	/** Runs the dispatcher daemon. */
	Entry = 'entry',
	/** Runs a back end. */
	Endpoint = 'endpoint',
}

/**
An instance on the platform's list. The list may lag behind the actual state.
*/
export type ListedInstance = {
	readonly name: string;
	readonly role: InstanceRole;
	readonly zone: string;
	/** Address of the peer port of an entry instance, or of the back end of an endpoint. */
	readonly address: string;
	/** Address of the operator port of an entry instance. */
	readonly operators?: string;
	readonly state: ListedState;
	/** Different for each start of an instance of the same name. */
	readonly incarnation: string;
};

/**
Result of a transaction. With `Refused`, `refusedKey` is the first key whose condition was not met.
*/
export type TransactionResult = {readonly outcome: PlatformOutcome; readonly refusedKey?: string};

/**
Operations on the platform's table, instance list and object store.
*/
export type Platform = {
	/** Reads rows by key. @throws A fault of kind `PlatformUnavailable` if the platform doesn't answer or answers with an error. */
	readonly readRows: (keys: readonly string[]) => Promise<readonly TableRow[]>;
	/** Reads up to `limit` rows whose keys start with a prefix, in key order, from the first key after `after`. */
	readonly scanRows: (prefix: string, limit: number, after?: string) => Promise<readonly TableRow[]>;
	/** Commits the writes if all conditions are met. Never throws: a lost answer gives `Unknown`. */
	readonly transact: (conditions: readonly TableCondition[], writes: readonly TableWrite[]) => Promise<TransactionResult>;
	/** Lists entry instances and endpoints. */
	readonly listInstances: () => Promise<readonly ListedInstance[]>;
	readonly readObject: (key: string) => Promise<string | undefined>;
	readonly writeObject: (key: string, value: string) => Promise<PlatformOutcome>;
};

type PlatformReply = {readonly status: number; readonly body: string};

type PlatformCall = {readonly method: string; readonly path: string; readonly body?: string};

const call = async (address: string, timeoutMilliseconds: number, {method, path, body = ''}: PlatformCall): Promise<PlatformReply> => new Promise((resolve, reject) => {
	const [host, port] = splitAddress(address);
	const headers = {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)};
	const request = httpRequest({
		host, port, method, path, headers, agent: false, signal: AbortSignal.timeout(timeoutMilliseconds),
	}, response => {
		const chunks: Uint8Array[] = [];
		response.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		response.on('end', () => {
			resolve({status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString()});
		});
		response.on('error', reject);
	});
	request.on('error', reject);
	request.end(body);
});

/**
Splits an address into its host and port.

@example
```
splitAddress('127.0.0.1:8080'); // => ['127.0.0.1', 8080]
```
*/
export const splitAddress = (address: string): readonly [host: string, port: number] => {
	const colon = address.lastIndexOf(':');
	return [address.slice(0, colon).replaceAll(/[\[\]]/gv, ''), Number(address.slice(colon + 1))];
};

/**
Creates a client for the platform's protocol, which is JSON over HTTP.

@example
```
const platform = createPlatformClient('127.0.0.1:7000', 1000);
const [row] = await platform.readRows(['catalogue']);
```
*/
export const createPlatformClient = (address: string, timeoutMilliseconds: number): Platform => {
	const read = async <Value>(platformCall: PlatformCall): Promise<Value | undefined> => {
		const operation = `${platformCall.method} ${platformCall.path}`;
		let reply: PlatformReply;
		try {
			reply = await call(address, timeoutMilliseconds, platformCall);
		} catch (error) {
			throw createFault(FaultKind.PlatformUnavailable, `the platform at ${address} did not answer ${operation}`, error);
		}

		if (reply.status === 404) {
			return undefined;
		}

		if (reply.status !== 200) {
			throw createFault(FaultKind.PlatformUnavailable, `the platform at ${address} answered ${operation} with status ${reply.status}`);
		}

		return parseJson<Value>(reply.body);
	};

	const post = async <Value>(path: string, query: unknown): Promise<readonly Value[]> =>
		await read<readonly Value[]>({method: 'POST', path, body: JSON.stringify(query)}) ?? [];

	return {
		readRows: async keys => post<TableRow>('/table/read', {keys}),
		scanRows: async (prefix, limit, after = '') => post<TableRow>('/table/scan', {prefix, limit, after}),
		async transact(conditions, writes) {
			try {
				const reply = await call(address, timeoutMilliseconds, {method: 'POST', path: '/table/transact', body: JSON.stringify({conditions, writes})});
				if (reply.status === 200) {
					return {outcome: PlatformOutcome.Done};
				}

				if (reply.status === 409) {
					const {key} = parseJson<{key: string}>(reply.body);
					return {outcome: PlatformOutcome.Refused, refusedKey: key};
				}

				return {outcome: PlatformOutcome.Unknown};
			} catch {
				return {outcome: PlatformOutcome.Unknown};
			}
		},
		listInstances: async () => await read<readonly ListedInstance[]>({method: 'GET', path: '/instances'}) ?? [],
		async readObject(key) {
			const stored = await read<{value: string}>({method: 'GET', path: `/objects/${encodeURIComponent(key)}`});
			return stored?.value;
		},
		async writeObject(key, value) {
			try {
				const reply = await call(address, timeoutMilliseconds, {method: 'PUT', path: `/objects/${encodeURIComponent(key)}`, body: JSON.stringify({value})});
				return reply.status === 200 ? PlatformOutcome.Done : PlatformOutcome.Unknown;
			} catch {
				return PlatformOutcome.Unknown;
			}
		},
	};
};
