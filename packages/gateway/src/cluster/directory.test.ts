import test from 'ava';
import {MemoryLog} from '../mocks/index.js';
import type {NodeInfo} from '../view/index.js';
import {Directory} from './directory.js';

const node: NodeInfo = {
	name: 'a', incarnation: 'a1', domain: 'x', addr: '10.0.0.1:1', cores: 0.5,
};

// A new leader reads the instances from the register before they announce themselves to it.
test('the register keeps the bandwidth of an instance that states one', async t => {
	const directory = new Directory(new MemoryLog());
	await directory.announce({...node, linkMbps: 18});
	t.deepEqual(await directory.list(), [{...node, linkMbps: 18}]);
	await directory.announce(node);
	t.deepEqual(await directory.list(), [node]);
});
