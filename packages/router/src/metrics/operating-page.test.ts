import {readFileSync} from 'node:fs';
import {ErrorKind, RetryReason} from '@bluebellyard/core';
import test from 'ava';
import {Counter, Gauge} from './counters.js';

const page = readFileSync(new URL('../../../../docs/OPERATING.md', import.meta.url), 'utf8');

test('the operators\' page lists every counter, gauge, refusal and retry reason', t => {
	const names = [Counter, Gauge, ErrorKind, RetryReason].flatMap(list => Object.values<string>(list));
	t.deepEqual(names.filter(name => !page.includes(`\`${name}\``)), []);
});
