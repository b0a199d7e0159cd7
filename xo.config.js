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
		files: ['**/__tests__/**'],
		rules: {
			// A step has as many parameters as its text, and cucumber counts them.
			'max-params': 'off',
		},
	},
];

export default config;
