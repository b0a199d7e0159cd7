import {createTwoFilesPatch} from 'diff';

/**
A text with the name under which a difference shows it.
*/
export type NamedText = {readonly name: string; readonly text: string};

/**
Describes what changed from one text to another as a unified diff; empty when nothing did.

@example
```
describeDifference({name: 'version 12', text: before}, {name: 'paysheet.jsonc', text: after});
```
*/
export const describeDifference = (before: NamedText, after: NamedText): string => {
	const endWithNewline = ({text}: NamedText): string => text.endsWith('\n') ? text : `${text}\n`;
	if (endWithNewline(before) === endWithNewline(after)) {
		return '';
	}

	const patch = createTwoFilesPatch(before.name, after.name, endWithNewline(before), endWithNewline(after));
	// The first line is a ruler that only joins several files.
	return patch.slice(patch.indexOf('\n') + 1).trimEnd();
};
