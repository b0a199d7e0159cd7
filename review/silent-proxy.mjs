/**
A proxy in front of a runner whose machine can lose power: connections then go silent, and those that were open are reset when the machine is up again.
*/
import {once} from 'node:events';
import {connect, createServer} from 'node:net';

/**
Starts a proxy on a free port of 127.0.0.1.

@param target Port of the runner.
*/
export const startSilentProxy = async target => {
	let port = target;
	let isDark = false;
	/** Connections of the present life of the machine. */
	const pairs = new Set();
	const server = createServer({noDelay: true}, caller => {
		caller.on('error', () => undefined);
		if (isDark) {
			// A machine without power doesn't answer: what arrives is lost.
			pairs.add({caller});
			caller.resume();
			return;
		}

		const runner = connect({port, host: '127.0.0.1', noDelay: true});
		const pair = {caller, runner};
		pairs.add(pair);
		runner.on('error', () => undefined);
		caller.on('data', bytes => {
			if (pair.isOld) {
				caller.resetAndDestroy();
			} else if (!pair.isSilent) {
				runner.write(bytes);
			}
		});
		runner.on('data', bytes => {
			if (!pair.isSilent) {
				caller.write(bytes);
			}
		});
		runner.on('close', () => {
			if (!pair.isSilent) {
				caller.destroy();
			}
		});
		caller.on('close', () => {
			runner.destroy();
			pairs.delete(pair);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		address: `127.0.0.1:${server.address().port}`,
		/** The machine loses power. */
		losePower() {
			isDark = true;
			for (const pair of pairs) {
				pair.isSilent = true;
			}
		},
		/** The machine is up again: a new life of the runner listens on the port. It resets connections that it doesn't know when something arrives on them. */
		restorePower(newPort) {
			port = newPort;
			isDark = false;
			for (const pair of pairs) {
				pair.isOld = true;
				if (!pair.runner) {
					pair.caller.resetAndDestroy();
				}
			}
		},
		close() {
			server.close();
			for (const {caller, runner} of pairs) {
				caller.destroy();
				runner?.destroy();
			}
		},
	};
};
