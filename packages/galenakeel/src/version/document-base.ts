const baseVersionPattern = /^\/\/ galenakeel: from version (?<version>\d+)\r?\n/v;

/**
The text of a document apart from the line that says which version it was made from.
*/
export type VersionedText = {
	readonly text: string;
	/** Version that the change was made from; `undefined` when the text does not say. */
	readonly version: number | undefined;
};

/**
Puts the version that a working copy is made from on its first line.

@example
```
addBase('{}', 12); // => '// galenakeel: from version 12\n{}'
```
*/
export const addBaseVersion = (text: string, version: number): string => `// galenakeel: from version ${version}\n${text}`;

/**
Takes that line off again, so that it never becomes part of the document.
*/
export const splitBaseVersion = (text: string): VersionedText => {
	const match = baseVersionPattern.exec(text);
	return match ? {text: text.slice(match[0].length), version: Number(match.groups!.version)} : {text, version: undefined};
};
