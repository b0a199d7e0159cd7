import {distance} from 'fastest-levenshtein';
import type {z} from 'zod';

/**
An invalid entry of a configuration, with a message that says what to change.
*/
export type ConfigurationFault = {
	readonly path: ReadonlyArray<string | number>;
	/** Whether the key of the entry is invalid, not its value. */
	readonly isKey: boolean;
	readonly message: string;
};

const expectedTypeNames: Readonly<Record<string, string>> = {
	string: 'text in double quotes',
	number: 'a number',
	int: 'a whole number',
	boolean: 'true or false',
	array: 'a list in [ ]',
	object: 'a group of settings in { }',
	record: 'a group of named entries in { }',
};

const describeExpectedType = (expected: string): string => expectedTypeNames[expected] ?? expected;

const describeInput = (input: unknown): string => {
	if (Array.isArray(input)) {
		return 'a list';
	}

	if (input === null) {
		return 'null';
	}

	if (typeof input === 'string') {
		return `the text ${JSON.stringify(input)}`;
	}

	if (typeof input === 'object') {
		return 'a group in { }';
	}

	return typeof input === 'number' ? `the number ${input}` : `the value ${JSON.stringify(input)}`;
};

const lastSegment = (path: readonly PropertyKey[]): string => String(path.at(-1) ?? 'it');

const describeBound = (origin: string, inclusive: boolean, bound: string, direction: 'least' | 'most'): string => {
	const amount = inclusive ? `at ${direction} ${bound}` : `${direction === 'least' ? 'above' : 'below'} ${bound}`;
	switch (origin) {
		case 'array': {
			return `must hold ${amount} ${bound === '1' ? 'entry' : 'entries'}`;
		}

		case 'string': {
			return `must have ${amount} ${bound === '1' ? 'character' : 'characters'}`;
		}

		default: {
			return `must be ${amount}`;
		}
	}
};

const invalidTypeMessage = ({input, expected, path = []}: z.core.$ZodRawIssue<z.core.$ZodIssueInvalidType>): string =>
	input === undefined
		? `is missing; add "${lastSegment(path)}" with ${describeExpectedType(expected)}`
		: `must be ${describeExpectedType(expected)}, but is ${describeInput(input)}`;

const invalidValueMessage = ({input, values}: z.core.$ZodRawIssue<z.core.$ZodIssueInvalidValue>): string => {
	const allowed = values.map(value => JSON.stringify(value)).join(', ');
	return input === undefined ? `is missing; add one of ${allowed}` : `must be one of ${allowed}, but is ${describeInput(input)}`;
};

const issueMessage = (issue: z.core.$ZodRawIssue): string | undefined => {
	if (issue.code === 'invalid_type') {
		return invalidTypeMessage(issue);
	}

	if (issue.code === 'invalid_value') {
		return invalidValueMessage(issue);
	}

	if (issue.code === 'too_small') {
		return `${describeBound(issue.origin, issue.inclusive !== false, String(issue.minimum), 'least')}, but is ${describeInput(issue.input)}`;
	}

	if (issue.code === 'too_big') {
		return `${describeBound(issue.origin, issue.inclusive !== false, String(issue.maximum), 'most')}, but is ${describeInput(issue.input)}`;
	}

	// The message of the schema is used.
	return undefined;
};

const nearestKey = (key: string, known: readonly string[]): string | undefined => {
	const ranked = known.map(name => ({name, edits: distance(key.toLowerCase(), name.toLowerCase())})).toSorted((first, second) => first.edits - second.edits);
	const [best] = ranked;
	return best && best.edits <= Math.max(2, Math.floor(key.length / 2)) ? best.name : undefined;
};

const unknownKeyMessage = (key: string, known: readonly string[]): string => {
	const nearest = nearestKey(key, known);
	if (nearest !== undefined) {
		return `is not known here; did you mean "${nearest}"?`;
	}

	return `is not known here; remove it, or use one of ${known.map(name => `"${name}"`).join(', ')}`;
};

const withoutSymbols = (path: readonly PropertyKey[]): ReadonlyArray<string | number> => path.filter(part => typeof part !== 'symbol');

const isObjectSchema = (schema: unknown): schema is {readonly shape: Readonly<Record<string, unknown>>} =>
	typeof schema === 'object' && schema !== null && 'shape' in schema;

const describeIssue = (issue: z.core.$ZodIssue, knownKeys: ReadonlyMap<string, readonly string[]>): readonly ConfigurationFault[] => {
	const path = withoutSymbols(issue.path);
	if (issue.code === 'unrecognized_keys') {
		const known = knownKeys.get(path.join('.')) ?? [];
		return issue.keys.map(key => ({path: [...path, key], isKey: true, message: unknownKeyMessage(key, known)}));
	}

	if (issue.code === 'invalid_key') {
		return issue.issues.map(({message}) => ({path, isKey: true, message: `the name ${message}`}));
	}

	return [{path, isKey: false, message: issue.message}];
};

/**
Validates a value and describes all faults in messages for the author of the configuration.

@returns The validated value, or all faults at once.

@example
```
validateConfiguration(z.strictObject({zone: z.string()}), {zome: 'zone-a'});
// => faults: zone is missing; zome is not known here; did you mean "zone"?
```
*/
export const validateConfiguration = <Schema extends z.ZodType>(schema: Schema, value: unknown): {readonly data: z.output<Schema>} | {readonly faults: readonly ConfigurationFault[]} => {
	const knownKeys = new Map<string, readonly string[]>();
	const result = schema.safeParse(value, {
		error(issue) {
			if (issue.code === 'unrecognized_keys' && isObjectSchema(issue.inst)) {
				knownKeys.set(withoutSymbols(issue.path ?? []).join('.'), Object.keys(issue.inst.shape));
			}

			return issueMessage(issue);
		},
	});
	return result.success ? {data: result.data} : {faults: result.error.issues.flatMap(issue => describeIssue(issue, knownKeys))};
};
