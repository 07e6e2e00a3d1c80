/** Short customary names that the house style asks for. */
const customaryNames = [
	'req',
	'res',
	'cfg',
	'err',
	'ctx',
	'args',
	'env',
	'fn',
	'dir',
	'msg',
	'prev',
	'ref',
	'params',
	'src',
	'dest',
	'ctl',
	'max',
	'min',
	'id',
	'idx',
	'i',
	'j',
	'Req',
	'Res',
	'Cfg',
	'Err',
	'Ctx',
	'Args',
	'Env',
	'Fn',
	'Dir',
	'Msg',
	'Prev',
	'Ref',
];

/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['**/dist/**', 'target/**', 'journal/**', '**/generated/**', 'results/**'],
	},
	{
		files: ['**/*.{ts,js,mjs}'],
		rules: {
			'unicorn/prevent-abbreviations': ['error', {
				allowList: Object.fromEntries(customaryNames.map(name => [name, true])),
			}],
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// The tests run from dist, which the plugin does not see.
			'ava/no-ignored-test-files': 'off',
			// Null is the wire form of an absent owner in JSON records.
			'@typescript-eslint/no-restricted-types': 'off',
			// The methods of most streams share names with those of arrays.
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-method-this-argument': 'off',
		},
	},
	{
		// Names on the wire are the platform's; they are decoded here and nowhere else.
		files: ['platform/**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		// Instances of one build exchange typed messages.
		files: ['packages/gateway/**/*.ts', 'platform/**/*.test.ts', 'platform/src/mocks/**'],
		rules: {
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
	{
		files: ['platform/src/main.ts', 'platform/src/soak/main.ts'],
		rules: {
			'unicorn/no-process-exit': 'off',
		},
	},
];

export default config;
