/**
Parses JSON of a known shape, written by the platform or by a process of the same version.

The shape is not checked. Text from callers and operators is validated against a schema instead.

@throws A `SyntaxError` if the text is not JSON.

@example
```
const {key} = parseJson<{key: string}>('{"key": "catalogue"}');
```
*/

export const parseJson = <Value>(text: string): Value => JSON.parse(text) as Value;
