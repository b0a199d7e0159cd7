import {isIP} from 'node:net';
import {z} from 'zod';

const maximumPort = 65_535;
const addressPattern = /^(?:(?<plain>[\d.]+)|\[(?<bracketed>[\da-f:]+)\]):(?<port>\d{1,5})$/v;

/**
Checks whether a text is an IP address and a port; an IPv6 address must be in brackets.

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
Error message for a text that is not an address.
*/
export const addressRemedy = 'must be an IP number and a port, as in "10.1.2.3:8080"';

/**
Schema of an address in settings and documents.
*/
export const addressSchema = z.string().refine(text => isAddress(text), addressRemedy);
