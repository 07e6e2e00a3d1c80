import {createHash} from 'node:crypto';
import {ControlKind, encodeControl, LogUnavailable} from '@bluebellyard/coordination';
import {
	emptyTables, encodeTables, foldData,
} from '@bluebellyard/core';
import test from 'ava';
import {FakeHost} from './mocks/index.js';

const rules = 'pool p keyed shards=4  # Sara\nroute GET /k/{key} p  # Sara\n';
const edited = `${rules}route PUT /k/{key} p  # Dawit\n`;

function bench(): FakeHost {
	const host = new FakeHost();
	host.addInstance();
	host.addTargets('a/t1', 'b/t2');
	host.files.set('f', rules);
	return host;
}

async function published(): Promise<FakeHost> {
	const host = bench();
	await host.run('publish', 'f');
	return host;
}

test('publish, then show', async t => {
	const host = bench();
	t.is(await host.run('publish', 'f'), 0);
	t.is(host.stdout, 'accepted: configuration 3\n');
	t.is(await host.run('show'), 0);
	t.is(host.stdout, `# base: 3\n${rules}`);
	t.is(await host.run('show', '--json'), 0);
	t.deepEqual(JSON.parse(host.stdout), {exit: 0, config: 3, text: rules});
});

test('what show printed can be published', async t => {
	const host = await published();
	host.files.set('g', `# base: 3\n${edited}`);
	t.is(await host.run('publish', 'g'), 0);
	await host.run('show');
	t.is(host.stdout, `# base: 4\n${edited}`);
});

test('the header counts wherever it stands', async t => {
	const host = await published();
	host.files.set('g', `# mine\n# base: 2\n${edited}`);
	t.is(await host.run('publish', 'g'), 1);
	host.files.set('g', `# base: x\n${edited}`);
	t.is(await host.run('publish', 'g'), 2);
	t.is(host.log.appends, 1);
});

test('a rule without effect is warned of', async t => {
	const host = await published();
	host.files.set('g', `${rules}out domain x  # S\n`);
	const warning = 'warning: rules: no target belongs to "out domain x"';
	t.is(await host.run('check', 'g'), 0);
	t.true(host.stdout.includes(warning));
	t.is(await host.run('publish', 'g'), 0);
	t.true(host.stdout.includes(warning));
});

test('a stale base is a conflict and shows the other edit', async t => {
	const host = await published();
	host.addConfig(edited, 3);
	for (const argv of [['publish', 'f', '--base', '3'], ['publish', 'g']]) {
		host.files.set('g', `# base: 3\n${rules}`);
		// eslint-disable-next-line no-await-in-loop -- one host
		t.is(await host.run(...argv), 1);
		t.is(host.stderr.split('\n').at(0), 'conflict: made from configuration 3, but 4 is in force; nothing was changed');
		t.true(host.stderr.endsWith('+ route PUT /k/{key} p  # Dawit\n'));
	}

	t.is(host.log.appends, 1);
});

test('an edit that comes between is a conflict', async t => {
	const host = await published();
	const append = host.log.append.bind(host.log);
	host.log.append = async records => {
		host.addConfig(edited, 3);
		return append(records);
	};

	t.is(await host.run('publish', 'f', '--json'), 1);
	t.like(JSON.parse(host.stdout), {conflict: true, config: 4, diff: ['+ route PUT /k/{key} p  # Dawit']});
	await host.run('show');
	t.is(host.stdout, `# base: 4\n${edited}`);
});

test('a lost answer is resolved by reading back', async t => {
	const host = bench();
	host.log.losesAnswers = true;
	t.is(await host.run('publish', 'f'), 0);
	t.is(host.log.appends, 1);
});

test('a record that is not found is not sent again', async t => {
	const host = bench();
	let appends = 0;
	host.log.append = async () => {
		appends++;
		host.log.isDown = true;
		throw new LogUnavailable('lost', true);
	};

	t.is(await host.run('publish', 'f'), 3);
	t.is(host.stderr, 'record id-0 was not read back in time; it may still take effect\n');
	t.is(appends, 1);
});

test('a record that stands twice counts once', async t => {
	const host = bench();
	host.log.duplicates = true;
	t.is(await host.run('publish', 'f'), 0);
	t.is(host.stdout, 'accepted: configuration 3\n');
});

test('log down', async t => {
	const host = bench();
	host.log.isDown = true;
	for (const argv of [['publish', 'f'], ['show'], ['drain', 'domain', 'a', '--who', 'S'], ['status']]) {
		// eslint-disable-next-line no-await-in-loop -- one host
		t.is(await host.run(...argv), 3);
	}

	t.is(host.log.appends, 0);
});

const refusals = [
	{
		name: 'malformed', text: 'pool x odd  # S\nfoo\n', exit: 2, said: 'f: line 1: unknown kind of pool',
	},
	{
		name: 'empties a pool', text: `${rules}out target t1  # S\nout domain b  # S\n`, exit: 1, said: 'empties-pool',
	},
	{
		name: 'changes the shards', text: rules.replace('=4', '=5'), exit: 1, said: 'shard-count-changed',
	},
];

for (const {name, text, exit, said} of refusals) {
	test(`check and publish refuse: ${name}`, async t => {
		const host = await published();
		host.files.set('f', text);
		for (const verb of ['check', 'publish']) {
			// eslint-disable-next-line no-await-in-loop -- one host
			t.is(await host.run(verb, 'f'), exit);
			t.true(host.stderr.includes(said));
		}

		t.is(host.log.appends, 1);
	});
}

test('check of a good file', async t => {
	const host = bench();
	t.is(await host.run('check', 'f'), 0);
	t.is(host.stdout, 'f: ok, 1 pools, 1 routes\n');
});

test('drain and return', async t => {
	const host = await published();
	t.is(await host.run('drain', 'domain', 'a', '--who', 'Sara, ticket 5'), 0);
	await host.run('show');
	t.true(host.stdout.endsWith('out domain a  # Sara, ticket 5\n'));
	t.is(await host.run('drain', 'domain', 'a', '--who', 'S'), 0);
	t.is(host.stdout, 'domain a is already out; nothing was published\n');
	t.is(await host.run('drain', 'domain', 'b', '--who', 'S'), 1);
	t.is(await host.run('return', 'domain', 'a'), 0);
	await host.run('show');
	t.is(host.stdout, `# base: 5\n${rules}`);
	t.is(await host.run('return', 'target', 't1'), 0);
	t.is(host.log.appends, 3);
});

test('drain of an unknown name', async t => {
	const host = await published();
	t.is(await host.run('drain', 'target', 't9', '--who', 'S'), 2);
	t.is(host.stderr, 'unknown target t9; expected one of: t1, t2\n');
});

test('wait until in force', async t => {
	const host = bench();
	host.instances.configs.set('10.0.0.1:1', 0);
	let polls = 0;
	host.instances.beforeStatus = () => {
		polls++;
		host.instances.configs.set('10.0.0.1:1', polls > 3 ? 3 : 2);
	};

	t.is(await host.run('publish', 'f', '--wait'), 0);
	t.is(host.stdout, 'accepted: configuration 3\nin force at 1 instances\n');
});

test('wait says where it is not in force', async t => {
	const host = bench();
	host.instances.configs.set('10.0.0.1:1', 2);
	t.is(await host.run('publish', 'f', '--wait', '--instances', '10.0.0.1:1,10.0.0.2:1'), 3);
	t.is(host.stderr, 'accepted: configuration 3\nnot in force at:\n'
	+ '10.0.0.1:1 i-10.0.0.1:1#1: configuration 2\n10.0.0.2:1: no answer\n');
});

test('a log past its retention', async t => {
	const host = await published();
	const tables = emptyTables();
	const {records} = await host.log.read(1, 10, 0);
	for (const {offset, data} of records) {
		foldData(tables, offset, data);
	}

	const text = encodeTables(tables);
	host.log.truncate(4);
	t.is(await host.run('show'), 3);
	host.log.foreign(encodeControl({
		kind: ControlKind.Snapshot, of: 3, part: 0, parts: 1, data: text, digest: createHash('sha256').update(text).digest('hex'),
	}));
	t.is(await host.run('publish', 'f'), 0);
	t.is(host.stdout, 'accepted: configuration 5\n');
});

test('status from the log and the instances', async t => {
	const host = await published();
	host.instances.configs.set('10.0.0.1:1', 3);
	t.is(await host.run('status', '--instances', '10.0.0.1:1,10.0.0.2:1', '--json'), 0);
	t.like(JSON.parse(host.stdout), {
		config: 3,
		folded: 3,
		instances: [{address: '10.0.0.1:1', answers: true, config: 3}, {address: '10.0.0.2:1', answers: false}],
	});
	host.log.isDown = true;
	t.is(await host.run('status', '--instances', '10.0.0.1:1,10.0.0.2:1'), 0);
	t.true(host.stdout.startsWith('configuration 3, log not reached\n'));
	t.true(host.stdout.includes('10.0.0.2:1  no answer'));
});

test('explain from an instance', async t => {
	const host = await published();
	host.instances.configs.set('10.0.0.1:1', 2);
	t.is(await host.run('explain', 'K/1', '--instances', '10.0.0.1:1'), 0);
	t.is(host.stdout, 'from: 10.0.0.1:1\nmethod: GET\npath: /k/K%2F1\nowner: t1\n');
});

test('explain from the log', async t => {
	const host = await published();
	t.is(await host.run('explain', '/k/K1', '--json'), 0);
	t.like(JSON.parse(host.stdout), {
		from: 'log', pool: 'p', key: 'K1', line: 2, who: 'Sara', owner: '',
	});
	t.is(await host.run('explain', '/nowhere'), 0);
	t.true(host.stdout.includes('route: none'));
	t.is(await host.run('explain', '/k/%'), 2);
	t.is(await host.run('explain', 'K1', '--method', 'POST'), 2);
});

const usages: ReadonlyArray<readonly [argv: readonly string[], exit: number]> = [
	[[], 2],
	[['nothing'], 2],
	[['publish'], 2],
	[['drain', 'domain', 'a'], 2],
	[['drain', 'pool', 'a', '--who', 'S'], 2],
	[['show', '--log', 'http://localhost:1'], 2],
	[['show', '--instances', 'host:1'], 2],
	[['show', '--timeout', '5'], 2],
	[['--help'], 0],
	[['publish', '--help'], 0],
	[['--version'], 0],
];

for (const [argv, exit] of usages) {
	test(`usage: ${argv.join(' ')}`, async t => {
		const host = bench();
		t.is(await host.run(...argv), exit);
		t.is(host.stdout === '', exit !== 0);
		t.is(host.stderr === '', exit === 0);
	});
}
