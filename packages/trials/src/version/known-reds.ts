/**
Parses the list of tests that fail for a known fault.

Each entry is a line: the name of the scenario, its command and seed, what was seen and the issue, separated by `|`. Lines that begin with `#` are comments.

@returns The names of the scenarios.

@example
```
parseKnownReds('A zone is cut | npm test | 1 false answer | issue 4'); // => Set {'A zone is cut'}
```
*/
export const parseKnownReds = (text: string): ReadonlySet<string> => {
	const entries = text.split('\n').filter(line => line.trim() !== '' && !line.startsWith('#'));
	return new Set(entries.map(line => line.split('|')[0]!.trim()));
};
