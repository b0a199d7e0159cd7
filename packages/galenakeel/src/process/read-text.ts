import {readFile} from 'node:fs/promises';
import {createFault, detailOf, FaultKind} from '@galenakeel/model/request/fault.js';

/**
Reads a text file given on the command line.

@throws A fault of kind `InvalidConfiguration` when it can't be read.

@example
```
const text = await readText('paysheet.jsonc');
```
*/
export const readText = async (path: string): Promise<string> => {
	try {
		return await readFile(path, 'utf8');
	} catch (error) {
		throw createFault(FaultKind.InvalidConfiguration, `${path} can't be read: ${detailOf(error)}`);
	}
};
