const retryMilliseconds = 40;

/**
Waits until a call that an endpoint has not answered, or not carried out, is repeated.

@example
```
await awaitRetry();
```
*/
export const awaitRetry = async (): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, retryMilliseconds);
});
