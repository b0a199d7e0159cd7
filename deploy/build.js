import {execFileSync} from 'node:child_process';
import {copyFileSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

// One file starts faster than hundreds of modules, and needs nothing beside it. As a function that is called with `require` it can be compiled ahead.
await build({
	entryPoints: ['packages/galenakeeld/src/process/fleet/fleet-entry.ts'],
	outfile: 'target/daemon.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	conditions: ['source'],
	// The builds of some libraries for CommonJS find their parts at run time.
	mainFields: ['module', 'main'],
	minifySyntax: true,
	logLevel: 'warning',
	banner: {js: '(require => {'},
	footer: {js: '})'},
});
copyFileSync('deploy/start.js', 'target/galenakeeld.js');

const {flags} = /^run = "node (?<flags>.+) \S+"$/mv.exec(readFileSync('deploy/system.toml', 'utf8')).groups;
execFileSync(process.execPath, [...flags.split(' '), 'deploy/compile.js'], {stdio: 'inherit'});
