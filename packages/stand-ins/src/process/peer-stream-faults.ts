/**
Breaks the streams that a daemon receives from its peers, in the daemon's process, which preloads this module: daemons dial the addresses that they bind, so no proxy can stand between them. SIGWINCH resets the open streams, as a network device does that has lost its state. SIGURG discards all further bytes of the open streams without closing them; new streams work. Both signals have no effect in a process that hasn't loaded this module yet.

The address at which the daemon receives streams is read from the environment.

@example
```
spawn(process.execPath, ['--import', peerStreamFaults, daemonProgram, settingsPath], {env: {...process.env, [peersVariable]: '127.0.0.1:7720'}});
daemon.kill(resetSignal);
```
*/
import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import process from 'node:process';
import {peersVariable, resetSignal, silenceSignal} from './peer-stream-signals.js';

/** Published by Node.js for each connection that a server of the process accepts. */
const acceptedChannel = 'net.server.socket';
const streams = new Set<Socket>();
const peersPort = Number(process.env[peersVariable]?.split(':').at(-1));

subscribe(acceptedChannel, message => {
	const {socket} = message as {readonly socket: Socket};
	if (socket.localPort === peersPort) {
		streams.add(socket);
		socket.once('close', () => {
			streams.delete(socket);
		});
	}
});

/** Drops what arrives, except the end of the connection. */
const silence = (socket: Socket): void => {
	const push = socket.push.bind(socket);
	socket.push = (chunk: unknown) => chunk === null ? push(null) : true;
};

process.on(resetSignal, () => {
	for (const socket of streams) {
		socket.resetAndDestroy();
	}
});
process.on(silenceSignal, () => {
	for (const socket of streams) {
		silence(socket);
	}
});
