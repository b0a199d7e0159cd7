import {
	findNodeAtLocation, getNodeValue, ParseErrorCode, parseTree, printParseErrorCode, type Node, type ParseError,
} from 'jsonc-parser';
import type {z} from 'zod';
import {createFault, FaultKind} from '../request/fault.js';
import {validateConfiguration, type ConfigurationFault} from './configuration-faults.js';

const formatLocation = (text: string, offset: number): string => {
	const before = text.slice(0, offset).split('\n');
	return `line ${before.length}, column ${(before.at(-1)?.length ?? 0) + 1}`;
};

const keyNodeOf = (node: Node): Node => node.parent?.type === 'property' ? node.parent.children![0]! : node;

/** Finds the node of a path, or of its longest prefix that exists in the text. */
const findNode = (root: Node, path: ReadonlyArray<string | number>, isKey: boolean): Node => {
	for (let {length} = path; length > 0; length--) {
		const node = findNodeAtLocation(root, path.slice(0, length));
		if (node) {
			return isKey && length === path.length ? keyNodeOf(node) : node;
		}
	}

	return root;
};

const syntaxErrorMessages: Readonly<Partial<Record<ParseErrorCode, string>>> = {
	[ParseErrorCode.InvalidSymbol]: 'a word stands here without double quotes; quote it, or write true, false, null or a number',
	[ParseErrorCode.InvalidNumberFormat]: 'invalid number; write it like 8 or 0.5',
	[ParseErrorCode.PropertyNameExpected]: 'expected the name of a setting in double quotes',
	[ParseErrorCode.ValueExpected]: 'expected a value',
	[ParseErrorCode.ColonExpected]: 'a colon is missing between the name and its value',
	[ParseErrorCode.CommaExpected]: 'a comma is missing before this character',
	[ParseErrorCode.CloseBraceExpected]: 'a closing } is missing',
	[ParseErrorCode.CloseBracketExpected]: 'a closing ] is missing',
	[ParseErrorCode.EndOfFileExpected]: 'unexpected text after the end; remove what follows the last }',
	[ParseErrorCode.UnexpectedEndOfString]: 'a closing double quote is missing',
	[ParseErrorCode.UnexpectedEndOfComment]: 'a closing */ is missing',
	[ParseErrorCode.InvalidCharacter]: String.raw`this character is not allowed here; remove it or write it as \u and four digits`,
};

const describeSyntaxError = (text: string, {error, offset}: ParseError): string =>
	`${formatLocation(text, offset)}: ${syntaxErrorMessages[error] ?? printParseErrorCode(error)}`;

const describeFault = (text: string, root: Node, {path, isKey, message}: ConfigurationFault): {readonly offset: number; readonly line: string} => {
	const {offset} = findNode(root, path, isKey);
	return {offset, line: `${formatLocation(text, offset)}: ${path.join('.') || 'the whole text'}: ${message}`};
};

/**
Parses JSON with comments and validates it. Reports all faults at once, in the order of the text.

@throws A fault of kind `InvalidConfiguration` with one line for each invalid entry: its line, column, path and what to change.

@example
```
const settings = parseConfiguration(settingsSchema, text, 'galenakeeld.jsonc');
```
*/
export const parseConfiguration = <Schema extends z.ZodType>(schema: Schema, text: string, source: string): z.output<Schema> => {
	const parseErrors: ParseError[] = [];
	const root = parseTree(text, parseErrors, {allowTrailingComma: true});
	if (!root || parseErrors.length > 0) {
		const errorLines = parseErrors.map(error => describeSyntaxError(text, error));
		throw createFault(FaultKind.InvalidConfiguration, `${source} is not JSON with comments:\n${errorLines.join('\n') || 'the text is empty'}`);
	}

	const result = validateConfiguration(schema, getNodeValue(root));
	if ('faults' in result) {
		const faultLines = result.faults.map(fault => describeFault(text, root, fault)).toSorted((first, second) => first.offset - second.offset);
		throw createFault(FaultKind.InvalidConfiguration, `${source} has ${faultLines.length} ${faultLines.length === 1 ? 'fault' : 'faults'}:\n${faultLines.map(({line}) => line).join('\n')}`);
	}

	return result.data;
};
