import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, request as openRequest} from 'node:http';

/**
Reads the body of a message as text.
*/
export const readText = async message => {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
};

/**
Answers a request with a JSON body.
*/
export const answerJson = (response, status, body) => {
	if (response.destroyed) {
		return;
	}

	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
};

/**
Starts a server of HTTP/1.1 on a free port, and returns it with its address.
*/
export const serve = async (host, handle) => {
	const server = createServer({keepAliveTimeout: 60_000}, async (request, response) => {
		try {
			await handle(request, response);
		} catch (error) {
			response.destroy(error);
		}
	});
	server.listen(0, host);
	await once(server, 'listening');
	return {
		address: `${host}:${server.address().port}`,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
};

/**
Sends one request on a connection of its own. Resolves with the status and body, or with status 0 if the connection ended without a complete answer or the wait was over; it then closes the connection.
*/
export const call = async (address, method, path, {body, headers = {}, waitMilliseconds = 2000} = {}) => {
	const separator = address.lastIndexOf(':');
	const text = body === undefined ? undefined : JSON.stringify(body);
	const request = openRequest({
		host: address.slice(0, separator),
		port: Number(address.slice(separator + 1)),
		method,
		path,
		agent: false,
		headers: {...(text !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}), ...headers},
	});
	const timer = setTimeout(() => {
		request.destroy(new Error('the wait is over'));
	}, waitMilliseconds);
	try {
		request.end(text);
		const [response] = await once(request, 'response');
		return {status: response.statusCode, text: await readText(response)};
	} catch (error) {
		return {status: 0, text: error.message};
	} finally {
		clearTimeout(timer);
	}
};
