/**
Small HTTP helpers of the review's stand-ins and callers.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, request as openRequest} from 'node:http';

const readText = async stream => {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

/**
Starts a JSON server on a free port of 127.0.0.1, or on the given port. The handler gets the method, the URL, the headers and the decoded body, and returns a status and a body.
*/
export const startJsonServer = async (handle, port = 0) => {
	const server = createServer({keepAliveTimeout: 60_000}, async (request, response) => {
		try {
			const text = await readText(request);
			const url = new URL(request.url, 'http://stand-in');
			const {status, body} = await handle({
				method: request.method, url, headers: request.headers, body: text === '' ? {} : JSON.parse(text),
			});
			const answer = JSON.stringify(body ?? {});
			response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(answer)});
			response.end(answer);
		} catch {
			response.destroy();
		}
	});
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	return {
		port: server.address().port,
		address: `127.0.0.1:${server.address().port}`,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
};

/**
Sends one request on a connection of its own. Resolves with the status and the text; the status is 0 if no complete answer arrived.
*/
export const send = async (address, {method, path, host, body, deadlineMilliseconds}) => {
	const [hostname, port] = address.split(':');
	const text = body === undefined ? '' : JSON.stringify(body);
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			request.destroy(new Error('deadline'));
		}, deadlineMilliseconds);
		const finish = result => {
			clearTimeout(timer);
			resolve(result);
		};

		const request = openRequest({
			hostname, port, method, path, agent: false, headers: {
				host, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'x-deadline-ms': String(deadlineMilliseconds),
			},
		});
		request.on('response', async response => {
			try {
				finish({status: response.statusCode, text: await readText(response)});
			} catch (error) {
				finish({status: 0, text: error.message});
			}
		});
		request.on('error', error => {
			finish({status: 0, text: error.message});
		});
		request.end(text);
	});
};
