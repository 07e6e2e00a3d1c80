/**
 * A process with one upstream. With the argument `endless` it answers some grants, up to 3 in 100 of all of its answers, for 5 s at a time with
 * pauses of 2 s, with a head and then a body that does not
 * end: chunks of one byte, as fast as the receiver reads them, until the receiver closes the connection.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {Upstream, sleep} from '../common-2/lab.mjs';

const [id, service, zone, mode] = process.argv.slice(2);
const piece = Buffer.from('1\r\n.\r\n'.repeat(8000));
const maxShare = 0.03;
const spellMs = 5000;
const cycleMs = 7000;
let answers = 0;
let spoilt = 0;
let openBodies = 0;
let sentBytes = 0;

function sendWithoutEnd(socket) {
	let isClosed = false;
	openBodies += 1;
	socket.on('error', () => undefined);
	socket.once('close', () => {
		isClosed = true;
		openBodies -= 1;
	});
	const go = () => {
		if (isClosed) {
			return;
		}

		sentBytes += piece.length;
		if (socket.write(piece)) {
			setImmediate(go);
		} else {
			socket.once('drain', go);
		}
	};

	go();
}

class FaultyUpstream extends Upstream {
	grant(order, res) {
		answers += 1;
		const isInSpell = performance.now() % cycleMs < spellMs;
		if (mode !== 'endless' || !isInSpell || spoilt + 1 > answers * maxShare) {
			super.grant(order, res);
			return;
		}

		spoilt += 1;
		const {socket} = res;
		super.grant(order, {
			writeHead(status) {
				socket.write(`HTTP/1.1 ${status} ${status === 200 ? 'OK' : 'Conflict'}\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n`);
				sendWithoutEnd(socket);
				return {end: () => undefined};
			},
		});
	}
}

const upstream = new FaultyUpstream(id, service, zone, {
	isSharded: true,
	async run({res, id: attempt}) {
		answers += 1;
		await sleep(20);
		const body = `answer to ${attempt}`;
		res.writeHead(200, {'x-attempt-id': attempt, 'x-response-seal': `${id}.${attempt}.200`, 'content-length': body.length}).end(body);
	},
});
await upstream.start();
process.send({port: upstream.port, born: upstream.born});
setInterval(() => {
	process.send({
		openBodies, sentBytes, answers, spoilt,
	});
}, 500);
process.on('disconnect', () => {
	process.exit();
});
