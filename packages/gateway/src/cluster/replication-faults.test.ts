/**
 * Replication of the view while pings are lost, late, repeated and reordered, the leader changes, and followers restart
 * or read the store themselves. A follower whose view differs from the state that it reports would never be corrected.
 */
import test from 'ava';
import {ManualClock, seededRandom} from '@bluebellyard/core';
import {createConfig} from '../mocks/index.js';
import type {Message} from '../peers/index.js';
import type {GatewayConfig} from '../ports/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View, type NodeInfo} from '../view/index.js';
import {FollowerSync} from './follower-sync.js';
import {
	unpackDelta, type Ping, type Pong, type ViewState,
} from './messages.js';
import {ViewReplica} from './view-replica.js';

class QuietTelemetry extends Telemetry {
	override info(): void {
		// Nothing is written.
	}

	override warn(): void {
		// Nothing is written.
	}
}

type Member = {
	node: NodeInfo;
	view: View;
	replica: ViewReplica;
	term: number;
	version: number;
};

const stepMs = 10;

function createVersion(version: number): GatewayConfig {
	const {routes: [route, ...others], ...config} = createConfig(version);
	return {...config, routes: [route, ...others, {...route, name: `v${version}`, prefix: `/v${version}/`}]};
}

function rowsOf(view: View, isAll: boolean): string {
	const rows = [...view.store.withPrefix('')].filter(([key]) => isAll || (key !== 'config' && !/^(?:route|service|team|team-key)\//v.test(key)));
	return JSON.stringify(rows.toSorted(([a], [b]) => a < b ? -1 : 1));
}

async function play(seed: number): Promise<string[]> {
	const random = seededRandom(seed);
	const pick = (count: number) => Math.floor(random() * count);
	const clock = new ManualClock(10_000);
	const telemetry = new QuietTelemetry(clock);
	const faults: string[] = [];
	const history = new Map<string, string>();
	let events: Array<{at: number; run: () => void}> = [];
	const after = (ms: number, run: () => void) => {
		events.push({at: clock.now() + ms, run});
	};

	const start = (name: string, run: number): Member => {
		const view = new View();
		return {
			node: {
				name, incarnation: `${name}-${run}`, domain: 'x', addr: name, cores: 1,
			}, view, replica: new ViewReplica(view, clock), term: 0, version: -1,
		};
	};

	const members = Array.from({length: 5}, (_, i) => start(`e${i}`, 1));
	let run = 1;
	let term = 0;
	let version = 1;
	let leader: Member | undefined;
	let sync: FollowerSync | undefined;
	let isCalm = false;

	const stateKey = ({leader: name, term: of, seq}: ViewState) => `${name}/${of}/${seq}`;
	const record = () => {
		if (leader !== undefined) {
			history.set(stateKey({leader: leader.node.incarnation, term: leader.term, seq: leader.view.store.lastSeq}), rowsOf(leader.view, false));
		}
	};

	const check = (member: Member, what: string) => {
		const {view, replica, node} = member;
		const own = [...view.store.withPrefix('route/v')].map(([key]) => key);
		const now = view.configVersion ?? -1;
		if (now < member.version || (now >= 0 && (own.length !== 1 || own[0] !== `route/v${now}`))) {
			faults.push(`${what} ${node.incarnation}: version ${member.version}, then ${now}, ${own.join(' ')}`);
		}

		member.version = now;
		const expected = replica.state === undefined ? undefined : history.get(stateKey(replica.state));
		if (replica.state !== undefined && expected !== rowsOf(view, false)) {
			faults.push(`${what} ${node.incarnation} differs from ${stateKey(replica.state)} ${expected === undefined ? 'unknown' : ''}`);
		}
	};

	// Some messages arrive after the timeout of a ping.
	const delay = () => random() < 0.15 ? random() * 2500 : random() * 60;
	const exchange = async (addr: string, {value, bytes}: Message, timeoutMs: number): Promise<Message> => new Promise((resolve, reject) => {
		after(timeoutMs, () => {
			reject(new Error('timeout'));
		});
		const ping = value as Ping;
		const deliver = () => {
			const member = members[Number(addr.slice(1))];
			if (ping.term < member.term || member === leader) {
				return;
			}

			member.term = ping.term;
			const before = member.replica.state;
			member.replica.receive(ping, unpackDelta(bytes));
			const {replica: {state}} = member;
			if (before !== undefined && state?.leader === before.leader && state.term === before.term && state.seq < before.seq) {
				faults.push(`${member.node.incarnation} went back from ${stateKey(before)} to ${state.seq}`);
			}

			check(member, 'ping');
			const pong: Pong = {
				era: 0, term: member.term, incarnation: member.node.incarnation, viewState: member.replica.state, report: {keys: {}, slowness: [], isLeaving: false},
			};
			if (isCalm || random() > 0.1) {
				after(isCalm ? 10 : delay(), () => {
					resolve({value: pong, bytes});
				});
			}
		};

		if (isCalm) {
			after(10, deliver);
			return;
		}

		if (random() > 0.15) {
			after(delay(), deliver);
		}

		if (random() < 0.15) {
			after(delay(), deliver);
		}
	});

	const lead = (member: Member) => {
		if (leader === member) {
			return;
		}

		if (leader !== undefined) {
			const {node, term: of, view, replica} = leader;
			replica.reset({leader: node.incarnation, term: of, seq: view.store.lastSeq});
			record();
		}

		sync?.stop();
		const baseState = member.replica.createBase();
		term += 1;
		member.term = term;
		leader = member;
		const of = term;
		for (const {node} of members) {
			member.view.store.set(`node/${node.name}`, node);
		}

		sync = new FollowerSync({
			self: member.node,
			leadership: () => ({era: 0, term: of}),
			view: member.view,
			net: {exchange: async (addr, _op, message, options) => exchange(addr, message, options?.timeoutMs ?? 0)},
			clock,
			telemetry,
			baseState,
			targetsReadAt: () => 0,
			formerSendEnds: () => new Map(),
			contactStatement: () => undefined,
			isLeaving: () => false,
			onPong() {
				// The reports are not used here.
			},
		});
		record();
	};

	const changeRows = () => {
		const {store} = leader!.view;
		for (let i = 0; i < 2; i += 1) {
			const key = `${['steward', 'leaving', 'keys'][pick(3)]}/${pick(12)}`;
			if (random() < 0.4) {
				store.remove(key);
			} else {
				store.set(key, pick(4));
			}
		}
	};

	const disturb = () => {
		if (random() < 0.25) {
			changeRows();
		}

		version += random() < 0.01 ? 1 : 0;
		if (random() < 0.008) {
			lead(members[pick(members.length)]);
		}

		const other = members[pick(members.length)];
		if (other === leader) {
			return;
		}

		if (random() < 0.004) {
			run += 1;
			const fresh = start(other.node.name, run);
			members[Number(other.node.name.slice(1))] = fresh;
			sync?.add(fresh.node);
		} else if (random() < 0.006) {
			// It reads the store itself, as it does not hear the leader.
			other.replica.clear();
			other.view.store.set(`steward/${pick(12)}`, 99);
			if (random() < 0.5) {
				other.view.setConfig(createVersion(version));
			}

			check(other, 'read');
		}
	};

	members[0].view.setConfig(createVersion(version));
	lead(members[0]);
	for (let i = 0; i < 1600; i += 1) {
		isCalm = i > 1000;
		if (!isCalm) {
			disturb();
		}

		if (isCalm || random() < 0.03) {
			leader!.view.setConfig(createVersion(version));
		}

		record();
		if (random() < 0.5) {
			sync?.sendDue(clock.now(), 0);
		}

		const due = events.filter(({at}) => at <= clock.now());
		events = events.filter(({at}) => at > clock.now());
		for (const {run: act} of due) {
			act();
		}

		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		clock.advance(stepMs);
	}

	for (const member of members) {
		if (rowsOf(member.view, true) !== rowsOf(leader!.view, true)) {
			faults.push(`${member.node.incarnation} differs in the end`);
		}
	}

	return faults;
}

test('a follower has the state that it reports, no older or mixed configuration, and in the end the view of the leader', async t => {
	for (let seed = 1; seed <= 30; seed += 1) {
		// eslint-disable-next-line no-await-in-loop
		const faults = await play(seed);
		t.deepEqual(faults.slice(0, 3), [], `seed ${seed}`);
	}
});
