import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';

/**
What the proxy does to bytes in one direction.
*/
export enum LinkState {
	/** Passes bytes on. */
	Open = 'open',
	/** Swallows bytes without closing the connection. */
	Silent = 'silent',
}

/**
Faults of a proxy, changed while it runs.
*/
export type ProxyFaults = {
	/** From the side that connects to the side that listens. */
	forward: LinkState;
	backward: LinkState;
	delayMilliseconds: number;
	/** Whether new connections are refused. */
	isRefusing: boolean;
};

/**
A TCP proxy that stands between two processes and injects faults.
*/
export type FaultProxy = {
	readonly address: string;
	readonly faults: ProxyFaults;
	/** Resets every open connection. */
	readonly resetConnections: () => void;
	/** Silences the connections that are open now, for good, while new ones work. */
	readonly silenceOpenConnections: () => void;
	readonly connections: () => number;
	readonly close: () => void;
};

enum Direction {
	/** From the side that connects to the side that listens. */
	Forward = 'forward',
	/** From the side that listens to the side that connects. */
	Backward = 'backward',
}

type Link = {readonly near: Socket; readonly far: Socket; isSilenced: boolean};

/**
Passes bytes from one socket to the other until either closes.
*/
const pump = async (link: Link, faults: ProxyFaults, direction: Direction): Promise<void> => {
	const [from, to] = direction === Direction.Forward ? [link.near, link.far] : [link.far, link.near];
	try {
		for await (const chunk of from as AsyncIterable<Uint8Array>) {
			if (faults.delayMilliseconds > 0) {
				await sleep(faults.delayMilliseconds);
			}

			if (link.isSilenced || faults[direction] === LinkState.Silent) {
				continue;
			}

			if (!to.write(chunk)) {
				await Promise.race([once(to, 'drain'), once(to, 'close')]);
			}
		}

		if (!link.isSilenced && faults[direction] === LinkState.Open) {
			to.end();
		}
	} catch {
		if (!link.isSilenced) {
			to.destroy();
		}
	}
};

/**
Starts a proxy that forwards connections from one address to another.
*/
export const startFaultProxy = async (address: string, target: string): Promise<FaultProxy> => {
	const links = new Set<Link>();
	const sockets = new Set<Socket>();
	const faults: ProxyFaults = {
		forward: LinkState.Open, backward: LinkState.Open, delayMilliseconds: 0, isRefusing: false,
	};

	const serve = async (near: Socket): Promise<void> => {
		const [host, port] = splitAddress(target);
		const far = connect({host, port, noDelay: true});
		const link: Link = {near, far, isSilenced: false};
		links.add(link);
		for (const socket of [near, far]) {
			sockets.add(socket);
			socket.once('close', () => {
				sockets.delete(socket);
			});
		}

		near.on('error', () => {
			far.destroy();
		});
		far.on('error', () => {
			near.destroy();
		});
		await Promise.all([
			pump(link, faults, Direction.Forward),
			pump(link, faults, Direction.Backward),
		]);
		near.destroySoon();
		far.destroySoon();
		links.delete(link);
	};

	const server: Server = createServer({noDelay: true}, near => {
		if (faults.isRefusing) {
			near.resetAndDestroy();
		} else {
			void serve(near);
		}
	});
	const [host, port] = splitAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});

	const resetConnections = (): void => {
		for (const {near, far} of links) {
			near.resetAndDestroy();
			far.resetAndDestroy();
		}
	};

	return {
		address,
		faults,
		resetConnections,
		silenceOpenConnections() {
			for (const link of links) {
				link.isSilenced = true;
			}
		},
		connections: () => links.size,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};
