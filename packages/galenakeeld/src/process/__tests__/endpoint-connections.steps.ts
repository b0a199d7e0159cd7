import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {FaultKind, isFault} from '@galenakeel/model/request/fault.js';
import {createDeferred, type Deferred} from '@galenakeel/model/request/deferred.js';
import {runEndpointConnection} from '../../connection/endpoint-connection.js';
import {performExchange, type EndpointAnswer} from '../../connection/endpoint-exchange.js';
import {createEndpointConnections, type EndpointConnections} from '../endpoint-connections.js';

const settleMilliseconds = 50;
const maximumIdleMilliseconds = 200;
const bufferedBodyBytes = 1_048_576;

type SentTask = {readonly name: string; readonly sentAt: number; readonly answer: string; readonly fault: FaultKind | undefined; readonly hasStarted: boolean};

type World = {
	server: Server;
	address: string;
	connections: EndpointConnections;
	openedAt: Map<Socket, number>;
	socketsOfTasks: Map<string, Socket>;
	/** Connections that this instance may have open. */
	share: number;
	maximumOpen: number;
	sent: number;
	tasks: SentTask[];
	answer: Deferred<EndpointAnswer>;
};

const idleSockets = ({openedAt, socketsOfTasks}: World): readonly Socket[] => {
	const used = new Set(socketsOfTasks.values());
	return [...openedAt.keys()].filter(socket => !socket.destroyed && !used.has(socket));
};

const send = async (world: World): Promise<void> => {
	world.sent++;
	const name = `/sheet-${world.sent}`;
	const sentAt = performance.now();
	let hasStarted = false;
	const add = (answer: string, fault?: FaultKind): void => {
		world.tasks.push({
			name, sentAt, answer, fault, hasStarted,
		});
	};

	try {
		const answer = await world.connections.send(world.address, {
			method: 'POST',
			path: name,
			headers: [],
			body: new Uint8Array(),
			connections: world.share,
			timeoutMilliseconds: 1000,
			beforeFirstByte() {
				hasStarted = true;
			},
		});
		add(new TextDecoder().decode(answer.body));
	} catch (error) {
		add('', isFault(error) ? error.name : FaultKind.Internal);
	}
};

Given('an endpoint and a pool that opens {int} connections in advance, limited to {int}', async function (this: World, connectionsAhead: number, share: number) {
	this.openedAt = new Map();
	this.socketsOfTasks = new Map();
	this.maximumOpen = 0;
	this.sent = 0;
	this.tasks = [];
	this.share = share;
	this.server = createServer((request, response) => {
		this.socketsOfTasks.set(request.url!, request.socket);
		const text = `answer to ${request.url!}`;
		this.maximumOpen = Math.max(this.maximumOpen, this.connections.open());
		response.writeHead(200, {'content-length': text.length});
		response.end(text);
	});
	this.server.on('connection', socket => {
		this.openedAt.set(socket, performance.now());
		this.maximumOpen = Math.max(this.maximumOpen, this.connections.open());
	});
	this.server.listen(0, '127.0.0.1');
	await once(this.server, 'listening');
	this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	this.connections = createEndpointConnections(async (address, nextExchange) => runEndpointConnection(address, nextExchange, {
		connectTimeoutMilliseconds: 500, tasksPerConnection: 1, bufferedBodyBytes,
	}), {
		connectionsAhead, maximumIdleMilliseconds, maximumAgeMilliseconds: 1000, instances: () => 1,
	});
});

After(function (this: Partial<World>) {
	this.connections?.close();
	this.server?.close();
	this.server?.closeAllConnections();
});

const sendOne = async function (this: World): Promise<void> {
	await send(this);
	await sleep(settleMilliseconds);
};

When('a task is sent', sendOne);

When('another task is sent', sendOne);

When('{int} tasks are sent, {int} concurrently', async function (this: World, count: number, atOnce: number) {
	await Promise.all(Array.from({length: atOnce}, async () => {
		while (this.sent < count) {
			await send(this);
		}
	}));
});

When('the endpoint closes the idle connections', async function (this: World) {
	for (const socket of idleSockets(this)) {
		socket.end();
	}

	await sleep(settleMilliseconds);
});

When('the endpoint sends an answer on the idle connections', async function (this: World) {
	for (const socket of idleSockets(this)) {
		socket.write('HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nanother');
	}

	await sleep(settleMilliseconds);
});

When('the idle connections exceed the maximum idle time', async () => {
	await sleep(maximumIdleMilliseconds);
});

When('the pool is closed', async function (this: World) {
	this.connections.close();
	await sleep(settleMilliseconds);
});

When('the endpoint shuts down', async function (this: World) {
	this.server.close();
	this.server.closeAllConnections();
	await sleep(settleMilliseconds);
});

Then('each task received its own answer', function (this: World) {
	for (const {name, answer, fault} of this.tasks) {
		assert.equal(answer, `answer to ${name}`, `task ${name} failed with ${fault}`);
	}

	assert.equal(this.tasks.length, this.sent);
});

const openedBefore = ({tasks, socketsOfTasks, openedAt}: World): boolean => {
	const {name, sentAt} = tasks.at(-1)!;
	return openedAt.get(socketsOfTasks.get(name)!)! < sentAt;
};

Then('the other task used a connection that was open before it was sent', function (this: World) {
	assert.equal(openedBefore(this), true);
});

Then('the other task used a connection that was opened for it', function (this: World) {
	assert.equal(openedBefore(this), false);
});

Then('each connection carried at most one task', function (this: World) {
	assert.equal(new Set(this.socketsOfTasks.values()).size, this.socketsOfTasks.size);
});

Then('at most {int} connections were open at once', function (this: World, maximum: number) {
	assert.ok(this.maximumOpen <= maximum, `${this.maximumOpen} connections were open at once`);
});

Then('the endpoint has no open connection', function (this: World) {
	assert.equal([...this.openedAt.keys()].filter(({destroyed}) => !destroyed).length, 0);
	assert.equal(this.connections.open(), 0);
});

Then('the other task was not started, and its endpoint counts as unreachable', function (this: World) {
	const {hasStarted, fault} = this.tasks.at(-1)!;
	assert.equal(hasStarted, false);
	assert.equal(fault, FaultKind.EndpointUnreachable);
});

When('a request is sent over a closed connection with a time-out of {int} ms', async function (this: World, timeoutMilliseconds: number) {
	const {port} = this.server.address() as AddressInfo;
	const socket = connect({port, host: '127.0.0.1'});
	await once(socket, 'connect');
	socket.destroy();
	await once(socket, 'close');
	this.answer = createDeferred<EndpointAnswer>();
	const request = {
		method: 'GET', path: '/', headers: [], body: new Uint8Array(), connections: 1, timeoutMilliseconds, beforeFirstByte: () => undefined,
	};
	void performExchange({socket, bytesRead: 0, options: {createConnection: () => socket}}, this.address, {request, answer: this.answer}, bufferedBodyBytes);
});

Then('it ends within {int} ms with a fault', async function (this: World, milliseconds: number) {
	const ended = Promise.race([this.answer.promise, sleep(milliseconds, 'no answer within the time limit')]);
	await assert.rejects(ended, isFault);
});
