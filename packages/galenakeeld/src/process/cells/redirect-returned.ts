import type {TaskRedirect} from '@galenakeel/model/connection/fleet-message.js';

/**
Returns the redirects of a part after some of its tasks have come back, so that whoever hears of them again is sent to where the tasks are now.

@param excluded Positions of the tasks that haven't come back.
@param cell The cell that redirected the tasks, and has them again.

@example
```
redirectReturned([{positions: ['0.1', '0.2'], cell: 'south'}], ['0.1'], 'north'); // => [{positions: ['0.1'], cell: 'south'}, {positions: ['0.2'], cell: 'north'}]
```
*/
export const redirectReturned = (redirects: readonly TaskRedirect[], excluded: readonly string[], cell: string): readonly TaskRedirect[] => {
	const absent = new Set(excluded);
	return redirects.flatMap(redirect => [
		{positions: redirect.positions.filter(position => absent.has(position)), cell: redirect.cell},
		{positions: redirect.positions.filter(position => !absent.has(position)), cell},
	]).filter(({positions}) => positions.length > 0);
};
