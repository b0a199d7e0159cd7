import {startFaultProxy, type FaultProxy} from '@galenakeel/stand-ins/connection/fault-proxy.js';
import type {PlatformStandIn} from '@galenakeel/stand-ins/process/platform-stand-in.js';
import type {DaemonPlace} from './daemon-process.js';
import {findFreeAddresses} from './free-ports.js';

/**
The proxies between the processes of a fleet. Each link has a proxy of its own, so that it can fail alone.
*/
export type ProxiedLinks = {
	/** From a daemon to the platform, by the daemon's instance. */
	readonly toPlatform: ReadonlyMap<string, FaultProxy>;
	/** Address of the platform that a daemon's proxy leads to, by the daemon's instance. */
	readonly platformView: ReadonlyMap<string, string>;
	/** From callers to a daemon, by the daemon's instance. */
	readonly toCallers: ReadonlyMap<string, FaultProxy>;
	/** From one daemon to another's peers' port. */
	readonly between: (from: string, to: string) => FaultProxy;
	readonly all: () => readonly FaultProxy[];
	readonly close: () => void;
};

/**
Puts a proxy on each link of the daemons.

@returns The links, and the addresses under which each daemon reaches the platform.
*/
export const startProxiedLinks = async (platform: PlatformStandIn, places: readonly DaemonPlace[]): Promise<ProxiedLinks> => {
	const toPlatform = new Map<string, FaultProxy>();
	const platformView = new Map<string, string>();
	const toCallers = new Map<string, FaultProxy>();
	const betweenPeers = new Map<string, FaultProxy>();
	for (const place of places) {
		const others = places.filter(other => other !== place);
		const [view, platformProxy, callersProxy, ...peerProxies] = await findFreeAddresses(3 + others.length) as [string, string, string, ...string[]];
		const peerAddresses = new Map<string, string>();
		for (const [position, other] of others.entries()) {
			const proxy = await startFaultProxy(peerProxies[position]!, other.peers);
			betweenPeers.set(`${place.instance}>${other.instance}`, proxy);
			peerAddresses.set(other.instance, proxy.address);
		}

		await platform.addView(view, instance => ({...instance, address: peerAddresses.get(instance.name) ?? instance.address}));
		platformView.set(place.instance, view);
		toPlatform.set(place.instance, await startFaultProxy(platformProxy, view));
		toCallers.set(place.instance, await startFaultProxy(callersProxy, place.callers));
	}

	const all = (): readonly FaultProxy[] => [...toPlatform.values(), ...toCallers.values(), ...betweenPeers.values()];
	return {
		toPlatform,
		platformView,
		toCallers,
		between: (from, to) => betweenPeers.get(`${from}>${to}`)!,
		all,
		close() {
			for (const proxy of all()) {
				proxy.close();
			}
		},
	};
};
