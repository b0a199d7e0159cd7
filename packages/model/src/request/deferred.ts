/**
A promise with the functions that settle it.
*/
export type Deferred<Value> = {
	readonly promise: Promise<Value>;
	readonly resolve: (value: Value) => void;
	readonly reject: (reason: unknown) => void;
};

/**
Creates a promise that is settled by code outside its executor.

@example
```
const answer = createDeferred<string>();
answer.resolve('done');
await answer.promise; // => 'done'
```
*/
export const createDeferred = <Value>(): Deferred<Value> => {
	let settle: Omit<Deferred<Value>, 'promise'> | undefined;
	const promise = new Promise<Value>((resolve, reject) => {
		settle = {resolve, reject};
	});
	return {promise, ...settle!};
};
