import net from 'node:net';

/** A connection that is idle for so long is probed by the daemon's system, and a machine that knows nothing of it resets it. */
const probeMilliseconds = 1000;
const checkMilliseconds = 20;

/**
Starts the power switch of a machine: a proxy in front of its runner. Without power nothing answers, and nothing is reset. When the power is back, connections of before are reset by the next byte or probe on them.

@param address Address at which the runner is listed.
@param target Address at which the runner's stand-in listens.
*/
export const startPowerSwitch = async (address, target) => {
	const [host, port] = address.split(':');
	const [targetHost, targetPort] = target.split(':');
	const links = new Set();
	let isOn = true;

	const connect = link => {
		link.upstream = net.connect({host: targetHost, port: Number(targetPort), noDelay: true});
		link.upstream.on('error', () => {
			link.socket.destroy();
		});
		link.upstream.on('data', bytes => {
			if (!link.isStale && isOn) {
				link.lastAt = performance.now();
				link.socket.write(bytes);
			}
		});
		link.upstream.on('close', () => {
			if (!link.isStale) {
				link.socket.destroy();
			}
		});
	};

	const onData = (link, bytes) => {
		if (!isOn) {
			return;
		}

		if (link.isStale) {
			link.socket.resetAndDestroy();
			return;
		}

		link.lastAt = performance.now();
		link.upstream.write(bytes);
	};

	const server = net.createServer({noDelay: true}, socket => {
		const link = {
			socket, upstream: undefined, isStale: !isOn, lastAt: performance.now(),
		};
		links.add(link);
		if (isOn) {
			connect(link);
		}

		socket.on('data', bytes => {
			onData(link, bytes);
		});
		socket.on('error', () => {
			// The daemon has closed it.
		});
		socket.on('close', () => {
			links.delete(link);
			link.upstream?.destroy();
		});
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(port), host, resolve);
	});
	const timer = setInterval(() => {
		for (const link of links) {
			if (isOn && link.isStale && performance.now() - link.lastAt > probeMilliseconds) {
				link.socket.resetAndDestroy();
			}
		}
	}, checkMilliseconds);

	return {
		off() {
			isOn = false;
			for (const link of links) {
				link.isStale = true;
				link.upstream?.destroy();
			}
		},
		on() {
			isOn = true;
		},
		close() {
			clearInterval(timer);
			for (const {socket} of links) {
				socket.destroy();
			}

			server.close();
		},
	};
};
