import test from 'ava';
import {ResultClass, type Attempt} from '../load/index.js';
import {findLongestGap} from './gaps.js';

const periodMs = 10;

function probe(scheduledAt: number, endedAt: number, result = ResultClass.Ok): Attempt {
	return {
		result, reason: '', target: '', scheduledAt, endedAt,
	};
}

const refused = (at: number): Attempt => probe(at, at, ResultClass.NotRun);

const cases: Array<{name: string; probes: Attempt[]; gap: number}> = [
	{name: 'all answered at once', probes: [0, 10, 20, 30].map(at => probe(at, at)), gap: 0},
	{name: 'refused for a while', probes: [probe(0, 0), refused(10), refused(20), probe(30, 30)], gap: 20},
	{name: 'waited for a while', probes: [probe(0, 0), probe(10, 29), probe(20, 29), probe(30, 30)], gap: 19},
	{name: 'answered out of order', probes: [probe(0, 25), probe(10, 11), probe(20, 21)], gap: 1},
	{name: 'never answered again', probes: [probe(0, 0), refused(10), refused(20), refused(30)], gap: 20},
	{name: 'never answered', probes: [refused(0), refused(39)], gap: 29},
	{name: 'probes outside the span', probes: [probe(0, 0), probe(10, 10), refused(40), refused(90)], gap: 0},
];

for (const {name, probes, gap} of cases) {
	test(`longest gap: ${name}`, t => {
		t.is(findLongestGap(probes, {from: 0, to: 40}, periodMs), gap);
	});
}
