import {
	findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, type Node, type ParseError,
} from 'jsonc-parser';
import type {z} from 'zod';
import {createFault, FaultKind} from '../request/fault.js';

const placeOf = (text: string, offset: number): string => {
	const before = text.slice(0, offset).split('\n');
	return `line ${before.length}, column ${(before.at(-1)?.length ?? 0) + 1}`;
};

const nearestNode = (root: Node, path: ReadonlyArray<string | number>): Node => {
	for (let {length} = path; length > 0; length--) {
		const node = findNodeAtLocation(root, path.slice(0, length));
		if (node) {
			return node;
		}
	}

	return root;
};

/**
Parses JSON with comments and validates it, reporting all faults at once.

@throws A fault of kind `InvalidConfiguration` with one line for each faulty place: its line, column, path and what to change.

@example
```
const settings = parseConfiguration(settingsSchema, text, 'galenakeeld.jsonc');
```
*/
export const parseConfiguration = <Schema extends z.ZodType>(schema: Schema, text: string, source: string): z.output<Schema> => {
	const parseErrors: ParseError[] = [];
	const root = parseTree(text, parseErrors, {allowTrailingComma: true});
	if (!root || parseErrors.length > 0) {
		const places = parseErrors.map(error => `${placeOf(text, error.offset)}: ${printParseErrorCode(error.error)}`);
		throw createFault(FaultKind.InvalidConfiguration, `${source} is not JSON with comments:\n${places.join('\n') || 'the text is empty'}`);
	}

	const result = schema.safeParse(getNodeValue(root));
	if (!result.success) {
		const places = result.error.issues.map(issue => {
			const path = issue.path.filter(part => typeof part !== 'symbol');
			return `${placeOf(text, nearestNode(root, path).offset)}: ${path.join('.') || 'the document'}: ${issue.message}`;
		});
		throw createFault(FaultKind.InvalidConfiguration, `${source} has ${places.length} ${places.length === 1 ? 'fault' : 'faults'}:\n${places.join('\n')}`);
	}

	return result.data;
};
