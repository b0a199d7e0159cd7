/**
Parses JSON written by a process of the same version or by the platform, whose shape the caller knows.

Text from callers and operators goes through a schema instead.

@throws A `SyntaxError` when the text is not JSON.

@example
```
const {key} = parseJson<{key: string}>('{"key": "catalogue"}');
```
*/

export const parseJson = <Value>(text: string): Value => JSON.parse(text) as Value;
