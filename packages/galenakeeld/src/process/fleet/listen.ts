import {once} from 'node:events';
import type {Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/**
Starts listening on an address; rejects if the address cannot be bound.
*/
export const listen = async (server: Server, host: string, port: number): Promise<void> => {
	server.listen(port, host);
	await once(server, 'listening');
};

/**
Stops accepting connections and waits until pending answers are written, up to a limit.
*/
export const closeServer = async (server: Server, limitMilliseconds: number): Promise<void> => {
	const closed = once(server, 'close');
	server.close();
	await Promise.race([closed, sleep(limitMilliseconds)]);
};
