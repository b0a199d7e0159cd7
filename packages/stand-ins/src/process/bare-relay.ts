import {
	Agent, createServer, request as httpRequest, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import process from 'node:process';
import {splitAddress} from '@galenakeel/model/connection/platform-client.js';

/**
The address that the relay listens on, and those that it forwards requests to, round-robin.
*/
export type RelayCommand = {readonly listen: string; readonly targets: readonly string[]};

const agent = new Agent({keepAlive: true});

const relay = (request: IncomingMessage, response: ServerResponse, target: string): void => {
	const [host, port] = splitAddress(target);
	const outgoing = httpRequest({
		agent, host, port, method: request.method!, path: request.url!, headers: request.headers,
	}, answer => {
		response.writeHead(answer.statusCode!, answer.rawHeaders);
		answer.pipe(response);
	});
	outgoing.on('error', () => {
		response.destroy();
	});
	request.pipe(outgoing);
};

const [{listen, targets}] = await once(process, 'message') as [RelayCommand];
let next = 0;
const server = createServer((request, response) => {
	relay(request, response, targets[next++ % targets.length]!);
});
const [host, port] = splitAddress(listen);
server.listen(port, host, () => {
	process.send!('listening');
});
process.once('disconnect', () => {
	process.exit();
});
