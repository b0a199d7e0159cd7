import {Buffer} from 'node:buffer';
import http from 'node:http';

/**
Starts an HTTP server with JSON bodies.

@param onRequest Called with the request, its parsed body, and a function that answers with a status and a body.
*/
export const serveJson = async (host, port, onRequest) => {
	const server = http.createServer({keepAliveTimeout: 5000}, (request, response) => {
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		request.on('error', () => {
			// The caller has left.
		});
		request.on('end', () => {
			const text = Buffer.concat(chunks).toString();
			const reply = (status, body, headers = {}) => {
				if (!response.destroyed) {
					const bytes = JSON.stringify(body);
					response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(bytes), ...headers});
					response.end(bytes);
				}
			};

			onRequest(request, text === '' ? undefined : JSON.parse(text), reply);
		});
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return server;
};

/**
Sends one request on a connection of its own. Resolves with the status and body; status 0 means that no complete answer came.
*/
export const send = async (address, {method = 'GET', path = '/', headers = {}, body, timeoutMilliseconds = 2000}) => new Promise(resolve => {
	const [host, port] = address.split(':');
	const request = http.request({
		host, port: Number(port), method, path, headers: {...(body !== undefined && {'content-type': 'application/json'}), ...headers}, agent: false,
	}, response => {
		const chunks = [];
		response.on('data', chunk => {
			chunks.push(chunk);
		});
		response.on('error', error => {
			resolve({status: 0, detail: error.message});
		});
		response.on('end', () => {
			resolve({status: response.statusCode, text: Buffer.concat(chunks).toString()});
		});
	});
	request.setTimeout(timeoutMilliseconds, () => {
		request.destroy(new Error('no answer in time'));
	});
	request.on('error', error => {
		resolve({status: 0, detail: error.message});
	});
	request.end(body === undefined ? undefined : JSON.stringify(body));
});
