import test from 'ava';
import type {ExplainQuery, Explanation} from '../dispatch/index.js';
import {answerExplain} from './explain-endpoint.js';

const explanation: Explanation = {
	instance: 'a-1', configVersion: 4, viewAgeMs: 0, services: [],
};

function ask(params: string): {status: number; query: ExplainQuery | undefined} {
	let query: ExplainQuery | undefined;
	const {status} = answerExplain(new URL(`http://localhost/explain?${params}`), asked => {
		query = asked;
		return explanation;
	});
	return {status, query};
}

test('parameters', t => {
	t.deepEqual(ask('host=h.example&path=%2Fbook%2F1%3Fa%3D2&key=17&team=x'), {
		status: 200,
		query: {
			host: 'h.example', path: '/book/1?a=2', key: 17, team: 'x',
		},
	});
	t.deepEqual(ask('host=h&path=/').query, {
		host: 'h', path: '/', key: undefined, team: undefined,
	});
});

// A malformed question must not be answered as if it were another one.
for (const params of ['', 'host=h', 'host=h&path=book', 'host=h&path=/&key=x', 'host=h&path=/&key=-1', 'host=h&path=/&key=1.5']) {
	test(`malformed: ${params}`, t => {
		t.deepEqual(ask(params), {status: 400, query: undefined});
	});
}
