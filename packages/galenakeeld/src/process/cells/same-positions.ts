/**
Returns whether two lists name the same positions of tasks, in any order.

@example
```
hasSamePositions(['0.0', '0.1'], ['0.1', '0.0']); // => true
```
*/
export const hasSamePositions = (first: readonly string[], second: readonly string[]): boolean => {
	const positions = new Set(second);
	return first.length === second.length && first.every(position => positions.has(position));
};
