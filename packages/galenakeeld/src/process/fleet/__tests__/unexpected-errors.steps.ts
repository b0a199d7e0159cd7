import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {Given, Then, When} from '@cucumber/cucumber';

type ErrorWorld = {
	handlerLocation: string;
	output: string;
};

Given('a process that reports unexpected errors', function (this: ErrorWorld) {
	this.handlerLocation = import.meta.resolve('../unexpected-errors.js');
});

/** Runs a program in which something fails, and that prints what was reported and then that it goes on. */
const runProgram = async (world: ErrorWorld, failure: string): Promise<void> => {
	const program = `
		const {handleUnexpectedErrors} = await import('${world.handlerLocation}');
		handleUnexpectedErrors(process, ({origin, detail}) => { console.log(origin + ': ' + detail); });
		${failure}
		setTimeout(() => { console.log('goes on'); }, 50);
	`;
	const child = spawn(process.execPath, ['--input-type=module', '--eval', program], {stdio: ['ignore', 'pipe', 'inherit']});
	world.output = await text(child.stdout);
};

When('a timer throws', async function (this: ErrorWorld) {
	await runProgram(this, 'setTimeout(() => { throw new Error(\'odd entry\'); }, 1);');
});

When('a task that runs on fails', async function (this: ErrorWorld) {
	await runProgram(this, 'void (async () => { throw new Error(\'odd entry\'); })();');
});

Then('the process has reported an error of a {string} with the detail {string}, and goes on', function (this: ErrorWorld, origin: string, detail: string) {
	assert.equal(this.output, `${origin}: ${detail}\ngoes on\n`);
});
