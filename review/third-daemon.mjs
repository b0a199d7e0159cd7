import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	openSync, closeSync, readFileSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {call} from './third-http.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));
const readyMilliseconds = 20_000;
const lookMilliseconds = 50;

/** Finds ports that are free at an address; no two are the same. */
const findFreePorts = async (host, count) => {
	const servers = Array.from({length: count}, () => createServer());
	const ports = [];
	for (const server of servers) {
		server.listen(0, host);
		await once(server, 'listening');
		ports.push(server.address().port);
	}

	for (const server of servers) {
		server.close();
		await once(server, 'close');
	}

	return ports;
};

const valueOf = (fields, name) => {
	let value = fields;
	for (const key of name.split('.')) {
		value = value?.[key];
	}

	return value;
};

/** Fills in the template of the deploy file: sections over the keys of a table, values, and values as JSON. */
const render = (template, fields) => template
	.replaceAll(/\{\{#(?<name>[\w.]+)\}\}(?<inner>.*?)\{\{\/\k<name>\}\}/gsv, (...parts) => {
		const {name, inner} = parts.at(-1);
		const keys = Object.keys(valueOf(fields, name));
		return keys.map((key, index) => inner.replaceAll('{{@}}', key).replaceAll('{{,}}', index < keys.length - 1 ? ',' : '')).join('');
	})
	.replaceAll(/\{\{(?<name>[\w.]+)(?<json>\|json)?\}\}/gv, (...parts) => {
		const {name, json} = parts.at(-1);
		const value = valueOf(fields, name);
		return json ? JSON.stringify(value) : String(value);
	});

const bounds = {
	ConfigApplyMs: 2000, GraceS: 6, HoldMaxMs: 1000, RemotePenalty: 3, ResendMs: 1300,
};

/**
Starts a daemon with the command of the deploy file, and waits until it is ready.

@param options.folder Folder for its settings and its log.
@param options.zones Names of all zones.
*/
export const startDaemon = async ({folder, name, host, zone, zones, storeServer, record}) => {
	const [frontend, readiness, peers, metrics] = await findFreePorts(host, 4);
	const deployFile = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const {run} = /^run = "(?<run>.+)"$/mv.exec(deployFile).groups;
	const {template} = /^template = "(?<template>.+)"$/mv.exec(deployFile).groups;
	const settingsPath = path.join(folder, `${name}.jsonc`);
	const writeSettings = address => {
		writeFileSync(settingsPath, render(readFileSync(path.join(root, template), 'utf8'), {
			NodeName: name,
			Zone: zone,
			Zones: Object.fromEntries(zones.map(one => [one, 'region'])),
			Ip: host,
			InternalPorts: [peers, metrics],
			Listen: {Frontend: `${host}:${frontend}`, Readiness: `${host}:${readiness}`},
			platform: {Address: address},
			Limits: {Cores: 1, CpuShare: 0.675},
			Bounds: bounds,
		}));
	};

	writeSettings(storeServer.address);
	const log = openSync(path.join(folder, `${name}.log`), 'a');
	const [program, ...words] = run.split(' ');
	const child = spawn(program, words, {
		cwd: root, stdio: ['ignore', log, log], env: {
			PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C.UTF-8', GALENAKEEL_NODE_FILE: settingsPath,
		},
	});
	closeSync(log);
	const exited = once(child, 'exit');
	record(`daemon ${name} is started`);

	const daemon = {
		name,
		zone,
		callers: `${host}:${frontend}`,
		readiness: `${host}:${readiness}`,
		signal(signal) {
			record(`daemon ${name} gets ${signal}`);
			child.kill(signal);
		},
		/** The address of the store in the daemon's settings. */
		storeServer: () => storeServer,
		/** Changes the address of the store in the daemon's settings file. */
		writeSettings,
		hasExited: () => child.exitCode !== null || child.signalCode !== null,
		async close() {
			if (!daemon.hasExited()) {
				child.kill('SIGKILL');
			}

			await exited;
		},
		async isReady() {
			const {status} = await call(daemon.readiness, 'GET', '/readyz', {waitMilliseconds: 500});
			return status === 200;
		},
	};

	const until = performance.now() + readyMilliseconds;
	while (!await daemon.isReady()) {
		if (performance.now() > until || daemon.hasExited()) {
			await daemon.close();
			throw new Error(`daemon ${name} was not ready in time`);
		}

		await sleep(lookMilliseconds);
	}

	record(`daemon ${name} is ready`);
	return daemon;
};
