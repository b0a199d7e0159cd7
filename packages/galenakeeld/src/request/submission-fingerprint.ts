import {createHash} from 'node:crypto';
import type {Submission} from '@galenakeel/model/request/task.js';

/**
Returns a digest of a submission's service and tasks, which distinguishes a repeat from a different submission with the same identifier.

Header fields, kinds and deadlines may differ between repeats and are left out.

@example
```
fingerprintOf(first) === fingerprintOf(repeat); // => true
```
*/
export const fingerprintOf = ({service, tasks}: Pick<Submission, 'service' | 'tasks'>): string => {
	const hash = createHash('sha256');
	hash.update(JSON.stringify([service, tasks.length]));
	for (const {method, path, body} of tasks) {
		// Without the length, moving bytes from the end of one body to the start of the next would give the same digest.
		hash.update(JSON.stringify([method, path, body.byteLength]));
		hash.update(body);
	}

	return hash.digest('base64url');
};
