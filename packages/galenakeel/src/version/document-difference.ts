import {createTwoFilesPatch} from 'diff';

/**
A text with the name that the diff shows for it.
*/
export type NamedText = {readonly name: string; readonly text: string};

/**
Returns the unified diff of two texts; empty when they are equal. A missing newline at the end is ignored.

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
	// The first line separates the patches of several files.
	return patch.slice(patch.indexOf('\n') + 1).trimEnd();
};
