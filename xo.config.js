/** Customary short names that the code style allows. */
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
			// The tests run from dist, which the plugin does not take into account.
			'ava/no-ignored-test-files': 'off',
			// JSON records represent an absent owner as null.
			'@typescript-eslint/no-restricted-types': 'off',
			// Many methods of streams have the same names as array methods.
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-method-this-argument': 'off',
		},
	},
	{
		// The platform defines the names in its messages; only these files decode them.
		files: ['platform/**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		// Messages between instances of the same build have known types.
		files: ['packages/gateway/**/*.ts', 'platform/**/*.test.ts', 'platform/src/mocks/**'],
		rules: {
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
	{
		files: ['platform/src/run-gateway.ts', 'platform/src/bundle/warm-up.ts', 'platform/src/soak/main.ts'],
		rules: {
			'unicorn/no-process-exit': 'off',
		},
	},
];

export default config;
