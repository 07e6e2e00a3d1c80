
/**
 * An upstream of a service that is divided by key, as the pages describe it. It takes grants and releases, and runs a request
 * only while it holds the request's key. `HoldLedger` records what all of them hold.
 */
import {randomBytes} from 'node:crypto';
import {Upstream} from './upstream.mjs';

/** Time for which two upstreams may hold the same keys, in milliseconds: the bound of the rule OWNER. */
const maxSharedMs = 500;

function overlaps(a, b) {
	return a.from <= b.to && b.from <= a.to;
}

/** What the upstreams hold and held. Times are Unix milliseconds. */
export class HoldLedger {
	/** Ended holds: upstream, from, to, fence, start, end. */
	ended = [];
	/** Breaches that show at once. */
	breaches = [];
	/** Accepted and refused grants, and releases, as lines of text. */
	events = [];
	upstreams = [];

	log(text) {
		this.events.push(`${Date.now()} ${text}`);
	}

	/** Checks a grant that `upstream` accepts. */
	checkGrant(upstream, grant, now) {
		for (const other of this.upstreams) {
			if (other === upstream) {
				continue;
			}

			// A release ends the hold, but not the work that runs: the other one's hold would have run out at `until`.
			const atWork = [...other.work.values()].filter(({key, until}) => key >= grant.from && key <= grant.to && Math.max(until, other.holds(key)?.until ?? 0) > now);
			if (atWork.length > 0) {
				this.breaches.push(`${now} OWNER: ${upstream.id} is given keys ${grant.from}-${grant.to} (fence ${grant.fence}), on which ${other.id} is at work for ${atWork.length} requests and whose hold would have run out only ${Math.round(Math.max(...atWork.map(({until}) => until)) - now)} ms later`);
			}

			const higher = [...this.ended, ...other.held].filter(hold => hold.upstream !== upstream.id && overlaps(hold, grant) && hold.fence >= grant.fence && hold.start < now);
			if (higher.length > 0) {
				this.breaches.push(`${now} OWNER: ${upstream.id} takes keys ${grant.from}-${grant.to} with fence ${grant.fence}, ${higher[0].upstream} had keys of it with ${higher[0].fence}`);
			}
		}
	}

	/** Returns the breaches of the rule OWNER. */
	findBreaches() {
		const now = Date.now();
		const holds = [...this.ended, ...this.upstreams.flatMap(({held}) => held).map(hold => ({...hold, end: Math.min(hold.until, now)}))];
		const shared = holds.flatMap((a, i) => holds.slice(i + 1).flatMap(b => {
			const ms = Math.min(a.end, b.end) - Math.max(a.start, b.start);
			return a.upstream !== b.upstream && overlaps(a, b) && ms > maxSharedMs
				? [`OWNER: ${a.upstream} and ${b.upstream} hold keys ${Math.max(a.from, b.from)}-${Math.min(a.to, b.to)} at the same time for ${Math.round(ms)} ms, from ${Math.max(a.start, b.start)}`]
				: [];
		}));
		return [...this.breaches, ...shared];
	}
}

export class KeyedUpstream extends Upstream {
	held = [];
	/** Requests that run: id to key and start. */
	work = new Map();
	fences = [];

	constructor(options) {
		super(options);
		this.ledger = options.ledger;
		this.ledger.upstreams.push(this);
	}

	/** Returns the hold of a key at this moment. */
	holds(key) {
		return this.held.find(({from, to, until}) => key >= from && key <= to && until > Date.now());
	}

	/** Ends what it holds of a range. */
	drop({from, to}, now) {
		this.held = this.held.flatMap(hold => {
			if (!overlaps(hold, {from, to})) {
				return [hold];
			}

			for (const work of this.work.values()) {
				if (work.key >= from && work.key <= to && work.key >= hold.from && work.key <= hold.to) {
					work.until = hold.until;
				}
			}

			this.ledger.ended.push({
				...hold, from: Math.max(from, hold.from), to: Math.min(to, hold.to), end: Math.min(now, hold.until),
			});
			return [{...hold, to: from - 1}, {...hold, from: to + 1}].filter(part => part.from <= part.to);
		});
	}

	/** Sends an answer to a call for keys. */
	answerCall(res, status, headers = {}) {
		const all = {...headers, 'content-length': 0};
		const {socket} = res;
		res.writeHead(status, all).end();
		const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		this.faults.onCallAnswered?.(socket, `HTTP/1.1 ${status} OK\r\n${lines}\r\n`);
	}

	handleCall(path, body, res) {
		const now = Date.now();
		const {from, to, fence, hold_s: holdS} = JSON.parse(body.toString());
		if (path === '/api/release') {
			this.ledger.log(`${this.id} release ${from}-${to} fence ${fence}`);
			this.drop({from, to}, now);
			const handover = randomBytes(8).toString('hex');
			const finish = () => {
				const isAtWork = [...this.work.values()].some(({key, startedAt}) => key >= from && key <= to && startedAt <= now);
				if (isAtWork) {
					setTimeout(finish, 5);
				} else {
					this.ledger.log(`${this.id} released ${from}-${to} fence ${fence}`);
					this.answerCall(res, 200, {'x-handover': handover});
				}
			};

			finish();
			return;
		}

		if (this.fences.some(known => overlaps(known, {from, to}) && known.fence > fence)) {
			this.ledger.log(`${this.id} refuses grant ${from}-${to} fence ${fence}`);
			this.answerCall(res, 409);
			return;
		}

		const grant = {
			upstream: this.id, from, to, fence, start: now, until: now + (holdS * 1000),
		};
		const present = this.held.find(hold => hold.from === from && hold.to === to && hold.fence === fence && hold.until > now);
		if (present === undefined) {
			this.ledger.checkGrant(this, grant, now);
			this.drop({from, to}, now);
			this.held.push(grant);
			this.fences.push({from, to, fence});
		} else {
			present.until = grant.until;
		}

		this.ledger.log(`${this.id} takes ${from}-${to} fence ${fence} for ${holdS} s${present === undefined ? '' : ' (renewed)'}`);
		this.answerCall(res, 200);
	}

	/** Returns the answer to a request for a key that it doesn't hold; undefined if it holds the key. */
	findObstacle(req) {
		return this.holds(Number(req.headers['x-shard-key'])) === undefined ? 421 : undefined;
	}

	recordStart(id, req) {
		const startedAt = Date.now();
		const key = Number(req.headers['x-shard-key']);
		this.work.set(id, {key, startedAt, until: this.holds(key)?.until ?? 0});
		this.runs.at(-1).key = key;
	}

	recordEnd(id) {
		this.work.delete(id);
	}

	stop() {
		this.drop({from: 0, to: 65_535}, Date.now());
		super.stop();
	}
}
