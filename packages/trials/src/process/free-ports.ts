import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';

/**
Finds loopback addresses that nothing listens on.

@example
```
const [platform, proxy] = await findFreeAddresses(2);
```
*/
export const findFreeAddresses = async (count: number): Promise<readonly string[]> => {
	const servers = Array.from({length: count}, () => createServer());
	const addresses: string[] = [];
	for (const server of servers) {
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	}

	for (const server of servers) {
		server.close();
		await once(server, 'close');
	}

	return addresses;
};
