const baseVersionPattern = /^\/\/ galenakeel: from version (?<version>\d+)\r?\n/v;

/**
The text of a document without the line that names the version it is based on.
*/
export type VersionedText = {
	readonly text: string;
	/** Version that the change is based on; `undefined` when the text has no such line. */
	readonly version: number | undefined;
};

/**
Adds a first line that names the version a working copy is based on.

@example
```
addBase('{}', 12); // => '// galenakeel: from version 12\n{}'
```
*/
export const addBaseVersion = (text: string, version: number): string => `// galenakeel: from version ${version}\n${text}`;

/**
Removes that line, which is not part of the document, and returns its version.
*/
export const splitBaseVersion = (text: string): VersionedText => {
	const match = baseVersionPattern.exec(text);
	return match ? {text: text.slice(match[0].length), version: Number(match.groups!.version)} : {text, version: undefined};
};
