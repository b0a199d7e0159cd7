import type {LendingCalls} from './lending-calls.js';

/**
Wraps the calls to lenders so that each reply to a borrow request is recorded as contact with the lender.

@param onContact Called with the name of the instance that replied.

@example
```
const lending = recordLenderContact(createLendingCalls(options), membership.recordContact);
```
*/
export const recordLenderContact = (calls: LendingCalls, onContact: (instance: string) => void): LendingCalls => ({
	...calls,
	async borrowSlots(lender, service, request) {
		const reply = await calls.borrowSlots(lender, service, request);
		if (reply) {
			onContact(lender.instance);
		}

		return reply;
	},
});
