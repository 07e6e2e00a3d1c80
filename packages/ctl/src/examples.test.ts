import {readdirSync, readFileSync} from 'node:fs';
import {parseRules, PoolKind} from '@bluebellyard/core';
import {loadSettings} from '@bluebellyard/router';
import test from 'ava';

const root = new URL('../../../examples/', import.meta.url);

const deployments = [
	{
		name: 'homero', domains: ['drava', 'duna', 'koros', 'tisza'], slots: 4, keyed: 'certificates', shared: 'audits',
	},
	{
		name: 'ethiopian', domains: ['arada', 'bole', 'lideta'], slots: 2, keyed: 'tickets', shared: 'parts',
	},
];

for (const {name, domains, slots, keyed, shared} of deployments) {
	test(`rules of ${name} are valid`, t => {
		const {rules, problems} = parseRules(readFileSync(new URL(`${name}/rules.txt`, root), 'utf8'));
		t.deepEqual(problems, []);
		t.like(rules?.pools.get(keyed), {kind: PoolKind.Keyed, slots});
		t.like(rules?.pools.get(shared), {kind: PoolKind.Shared, slots});
	});

	test(`settings of ${name} are valid`, t => {
		const files = readdirSync(new URL(name, root)).filter(file => file.endsWith('.ini')).toSorted();
		const found = files.map(file => loadSettings(new URL(`${name}/${file}`, root).pathname).instance.domain);
		t.deepEqual(found, domains);
		t.deepEqual(files, domains.map(domain => `${domain}.ini`));
	});
}
