import net from 'node:net';

/**
Finds ports that are free at all given addresses.
*/
export const findPorts = async (hosts, count) => {
	const ports = [];
	while (ports.length < count) {
		const port = 20_000 + Math.floor(Math.random() * 12_000);
		let isFree = !ports.includes(port);
		for (const host of hosts) {
			const server = net.createServer();
			const isBound = await new Promise(resolve => {
				server.once('error', () => {
					resolve(false);
				});
				server.listen(port, host, () => {
					resolve(true);
				});
			});
			await new Promise(resolve => {
				server.close(resolve);
			});
			isFree &&= isBound;
		}

		if (isFree) {
			ports.push(port);
		}
	}

	return ports;
};
