import {connect, createServer, type Socket} from 'node:net';
import {pipeline} from 'node:stream/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';
import {call} from './http-json.js';

/**
Addresses of an entry instance behind the balancer: for callers and for operators.
*/
export type BalancedInstance = {readonly callers: string; readonly operators: string};

/**
A stand-in of the platform's TCP load balancer. New connections are distributed round-robin over the instances that pass the readiness check.
*/
export type BalancerStandIn = {
	readonly address: string;
	/** Replaces the list of instances; takes effect with the next readiness check. */
	readonly setInstances: (instances: readonly BalancedInstance[]) => void;
	readonly close: () => void;
};

const checkIntervalMilliseconds = 200;
const checkTimeoutMilliseconds = 500;

const pipeBothWays = async (near: Socket, far: Socket): Promise<void> => {
	try {
		await pipeline(near, far, near);
	} catch {
		// When one side fails, both sockets are destroyed below.
	}

	near.destroy();
	far.destroy();
};

const isReady = async (instance: BalancedInstance): Promise<boolean> => {
	try {
		const reply = await call(instance.operators, 'GET', '/ready', {timeoutMilliseconds: checkTimeoutMilliseconds});
		return reply.status === 200;
	} catch {
		return false;
	}
};

/**
Starts a balancer without instances. It resets new connections while no instance is ready.
*/
export const startBalancerStandIn = async (address: string): Promise<BalancerStandIn> => {
	let instances: readonly BalancedInstance[] = [];
	let ready: readonly BalancedInstance[] = [];
	let next = 0;

	const pollReadiness = async (): Promise<void> => {
		for (;;) {
			const checks = await Promise.all(instances.map(async instance => isReady(instance)));
			ready = instances.filter((_, position) => checks[position]);
			await sleep(checkIntervalMilliseconds);
			if (!server.listening) {
				return;
			}
		}
	};

	const serve = (near: Socket): void => {
		const chosen = ready[next++ % Math.max(1, ready.length)];
		if (!chosen) {
			near.resetAndDestroy();
			return;
		}

		const [host, port] = splitAddress(chosen.callers);
		const far = connect({host, port, noDelay: true});
		void pipeBothWays(near, far);
	};

	const server = createServer({noDelay: true}, serve);
	const [host, port] = splitAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	void pollReadiness();
	return {
		address,
		setInstances(changed) {
			instances = changed;
		},
		close() {
			server.close();
		},
	};
};
