/**
Lets the connections that the process that preloads it has accepted go silent: from a SIGWINCH on it reads nothing more from those that are open then. New connections work.

@example
```
spawn(process.execPath, ['--import', silentConnections, daemonProgram, settingsPath]);
```
*/
import {Server, type Socket} from 'node:net';
import process from 'node:process';

const sockets = new Set<Socket>();
const emit = Server.prototype.emit as (this: Server, event: string | symbol, ...values: readonly unknown[]) => boolean;

Server.prototype.emit = function (this: Server, event: string | symbol, ...values: readonly unknown[]): boolean {
	if (event === 'connection') {
		const socket = values[0] as Socket;
		sockets.add(socket);
		socket.on('close', () => {
			sockets.delete(socket);
		});
	}

	return emit.call(this, event, ...values);
};

process.on('SIGWINCH', () => {
	for (const socket of sockets) {
		// The reader would resume a socket that is only paused.
		socket.pause();
		socket.read = () => null;
		socket.resume = () => socket;
	}
});
