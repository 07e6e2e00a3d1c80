import {endlessBodies, startEndlessServer} from '@bluebellyard/coordination/mocks';
import test from 'ava';
import {MembershipReader, type MembershipListing} from './membership-reader.js';

function makeListing(name: string): MembershipListing {
	return {targets: [], instances: [name], peerAddrs: []};
}

// A slow read that was answered late put a target that was leaving back into service.
test('the late answer to an earlier read is dropped', async t => {
	const answers: Array<(listing: MembershipListing) => void> = [];
	const reader = new MembershipReader(async () => new Promise(resolve => {
		answers.push(resolve);
	}));
	const reads = [reader.readNewest(), reader.readNewest(), reader.readNewest()];
	answers[1](makeListing('second'));
	t.deepEqual(await reads[1], makeListing('second'));
	answers[0](makeListing('first'));
	t.is(await reads[0], undefined);
	answers[2](makeListing('third'));
	t.deepEqual(await reads[2], makeListing('third'));
});

// Reads of the list waited for ever, or took all memory.
for (const body of endlessBodies) {
	test(`a list without end is none: ${body.bytes} bytes at a time`, async t => {
		const server = await startEndlessServer(body);
		t.teardown(() => {
			server.stop();
		});
		await t.throwsAsync(MembershipReader.forOrigin(`http://${server.addr}`).readNewest(), {
			any: true, name: body.bytes === 1 ? 'TimeoutError' : 'ResponseExceededMaxSizeError',
		});
	});
}
