import {once} from 'node:events';
import {createServer} from 'node:net';
import process from 'node:process';

// Below the range from which the system takes ports for outgoing connections, so that none of those takes one meanwhile.
const firstPort = 10_000;
const portCount = 22_000;
const portsBetweenProcesses = 211;

let next = (process.pid * portsBetweenProcesses) % portCount;

const isFree = async (port: number): Promise<boolean> => {
	const server = createServer();
	server.listen(port, '127.0.0.1');
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
			addresses.push(`127.0.0.1:${port}`);
		}
	}

	return addresses;
};
