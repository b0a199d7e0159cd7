/**
Formats rows of text as aligned columns under their headings.

@example
```
formatTable(['service', 'version'], [['paysheet', '12']]); // => 'service   version\npaysheet  12'
```
*/
export const formatTable = (headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string => {
	const lines = [headings, ...rows];
	const widths = headings.map((_, column) => Math.max(...lines.map(line => (line[column] ?? '').length)));
	return lines
		.map(line => line.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd())
		.join('\n');
};
