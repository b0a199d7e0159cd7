import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';

/**
How the proxy treats bytes in one direction.
*/
export enum LinkState {
	/** Forwards bytes. */
	Open = 'open',
	/** Discards bytes without closing the connection. */
	Silent = 'silent',
}

/**
Faults that a proxy injects. They may be changed while it runs.
*/
export type ProxyFaults = {
	/** From the client to the target. */
	forward: LinkState;
	/** From the target to the client. */
	backward: LinkState;
	/** Delay of each chunk, in both directions. */
	delayMilliseconds: number;
	/** Whether new connections are reset. */
	isRefusing: boolean;
};

/**
A TCP proxy between two processes that injects network faults.
*/
export type FaultProxy = {
	readonly address: string;
	readonly faults: ProxyFaults;
	/** Resets every open connection. */
	readonly resetConnections: () => void;
	/** Discards all further bytes of the connections that are open now; new connections work. */
	readonly silenceOpenConnections: () => void;
	/** Number of open connections. */
	readonly connections: () => number;
	readonly close: () => void;
};

enum Direction {
	/** From the client to the target. */
	Forward = 'forward',
	/** From the target to the client. */
	Backward = 'backward',
}

/** A proxied connection: `near` is the client's socket, `far` the target's. */
type Link = {readonly near: Socket; readonly far: Socket; isSilenced: boolean};

/**
Copies bytes from one socket to the other until either closes.
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
Starts a proxy that forwards connections from an address to a target, without faults at first.
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
