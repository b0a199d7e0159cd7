import {isIP} from 'node:net';
import {z} from 'zod';

const maximumPort = 65_535;
const addressPattern = /^(?:(?<plain>[\d.]+)|\[(?<bracketed>[\da-f:]+)\]):(?<port>\d{1,5})$/v;

/**
Tells whether a text is an IP number and a port; an IP number of version 6 stands in brackets.

@example
```
isAddress('10.1.2.3:8080'); // => true
isAddress('platform.example:8080'); // => false
```
*/
export const isAddress = (text: string): boolean => {
	const groups = addressPattern.exec(text)?.groups;
	const port = Number(groups?.port ?? 0);
	return port > 0 && port <= maximumPort && isIP(groups?.plain ?? groups?.bracketed ?? '') !== 0;
};

/**
What is said about a text that is not an address.
*/
export const addressRemedy = 'must be an IP number and a port, as in "10.1.2.3:8080"';

/**
The schema of an address in settings and documents.
*/
export const addressSchema = z.string().refine(text => isAddress(text), addressRemedy);
