import {createHash} from 'node:crypto';
import type {Submission} from '@galenakeel/model/request/task.js';

/**
Digests what a submission asks for, so that another submission under the same identifier is told apart from a repeat.

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
		// The length keeps two bodies apart that differ only in where one ends and the next begins.
		hash.update(JSON.stringify([method, path, body.byteLength]));
		hash.update(body);
	}

	return hash.digest('base64url');
};
