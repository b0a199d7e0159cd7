import {once} from 'node:events';
import {createServer} from 'node:net';
import process from 'node:process';

// Below the range from which the system takes ports for outgoing connections, so that none of those takes one meanwhile.
const firstPort = 10_000;
const portCount = 22_000;
// Processes that search at the same time have a loopback address each, so that none takes a port that another has just found free.
const octets = 256;
const loopbackNetworks = 250;
const host = `127.${1 + (Math.floor(process.pid / octets) % loopbackNetworks)}.${process.pid % octets}.1`;

let next = 0;

const isFree = async (port: number): Promise<boolean> => {
	const server = createServer();
	server.listen(port, host);
	try {
		await once(server, 'listening');
	} catch {
		return false;
	}

	server.close();
	await once(server, 'close');
	return true;
};

/**
Finds loopback addresses that nothing listens on, and that this process has not been given before.

@example
```
const [platform, proxy] = await findFreeAddresses(2);
```
*/
export const findFreeAddresses = async (count: number): Promise<readonly string[]> => {
	const addresses: string[] = [];
	while (addresses.length < count) {
		next = (next + 1) % portCount;
		const port = firstPort + next;
		if (await isFree(port)) {
			addresses.push(`${host}:${port}`);
		}
	}

	return addresses;
};
