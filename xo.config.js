// In the daemon, an import of a value goes from the shorter life to the longer; a longer-lived module gets functions passed in.
const longerLived = (folder, shorterLived) => ({
	files: [`packages/galenakeeld/src/${folder}/**`],
	rules: {
		'@typescript-eslint/no-restricted-imports': ['error', {
			patterns: [{
				group: shorterLived.map(shorter => `**/../${shorter}/*`),
				message: `What lives for a ${folder} must not call what lives for less; take a function as an argument.`,
				allowTypeImports: true,
			}],
		}],
	},
});

/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', '**/generated/**', 'reports/**'],
	},
	{
		rules: {
			// The house style asks for one task for each connection and peer, written straight down: loops that await.
			'no-await-in-loop': 'off',
			// Node's events, streams and decoders give values whose types only their protocol tells.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// A task that nobody awaits is marked with `void`.
			'no-void': 'off',
			// The classes of protobuf messages and the steps of cucumber are called without new.
			'new-cap': ['error', {capIsNewExceptions: ['Given', 'When', 'Then', 'After', 'Before', 'AfterAll', 'BeforeAll']}],
		},
	},
	{
		// The names on the platform's wire are its own; its stand-ins speak them too.
		files: ['platform/src/**', 'packages/stand-ins/src/**'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	longerLived('connection', ['request']),
	longerLived('version', ['request', 'connection']),
	longerLived('process', ['request', 'connection', 'version']),
	{
		// The wiring passes the functions in.
		files: ['packages/galenakeeld/src/process/daemon.ts', 'packages/galenakeeld/src/process/fleet/fleet-daemon.ts', '**/__tests__/**'],
		rules: {
			'@typescript-eslint/no-restricted-imports': 'off',
		},
	},
	{
		files: ['**/__tests__/**'],
		rules: {
			// A step has as many parameters as its text, and cucumber counts them.
			'max-params': 'off',
		},
	},
];

export default config;
