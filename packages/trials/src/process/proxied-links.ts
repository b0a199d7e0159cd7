import {startFaultProxy, type FaultProxy} from '@galenakeel/stand-ins/connection/fault-proxy.js';
import type {PlatformStandIn} from '@galenakeel/stand-ins/process/platform-stand-in.js';
import type {DaemonPlace} from './daemon-process.js';
import {findFreeAddresses} from './free-ports.js';

/**
The fault proxies between the processes of a fleet. Each link has its own proxy, so that faults can be injected on each link separately.
*/
export type ProxiedLinks = {
	/** Proxies from daemons to the platform, by instance. */
	readonly toPlatform: ReadonlyMap<string, FaultProxy>;
	/** Addresses of the platform to which the daemons' proxies forward, by instance. */
	readonly platformView: ReadonlyMap<string, string>;
	/** Proxies from callers to daemons, by instance. */
	readonly toCallers: ReadonlyMap<string, FaultProxy>;
	/** Returns the proxy from one daemon to the peer port of another. */
	readonly between: (from: string, to: string) => FaultProxy;
	readonly all: () => readonly FaultProxy[];
	readonly close: () => void;
};

/**
Starts a fault proxy for each link of the daemons.

@returns The proxies by link, and the platform address that each daemon's proxy forwards to.
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
