/** The tests run from the compiled output of each package. */
const config = {
	files: ['packages/*/dist/**/*.test.js', 'platform/dist/**/*.test.js'],
	timeout: '120s',
	workerThreads: false,
};

export default config;
