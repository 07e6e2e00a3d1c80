import {Gauge, type Counters} from '../metrics/index.js';
import type {TargetExecutor} from '../work/index.js';
import type {MemberHost} from './member-host.js';

/** What the gauges are read from. */
export type GaugeSource = Pick<MemberHost, 'member' | 'isReady' | 'folded' | 'logAgeMs'> & {
	readonly work: {entries(): ReadonlyArray<readonly [target: string, work: Pick<TargetExecutor, 'admission'>]>};
};

/** Sets all gauges to their values at monotonic time `now`. */
export function reportGauges(counters: Counters, source: GaugeSource, now: number): void {
	const {member, work, isReady, folded, logAgeMs} = source;
	const {targets, pools, config} = member.tables;
	const shards = [...pools.values()].flatMap(pool => pool.shards);
	const gates = work.entries().map(([, {admission: gate}]) => gate);
	const rightLeftMs = member.rightUntil() - now;
	counters.setGauge(Gauge.Ready, isReady ? 1 : 0);
	counters.setGauge(Gauge.FoldedOffset, folded);
	counters.setGauge(Gauge.ConfigOffset, config.offset);
	counters.setGauge(Gauge.LogAge, Math.round(logAgeMs));
	counters.setGauge(Gauge.Stewardships, [...targets.values()].filter(target => target.steward === member.id).length);
	counters.setGauge(Gauge.UnownedShards, shards.filter(({owner, base}) => owner === '' && base >= 0).length);
	counters.setGauge(Gauge.InFlight, gates.reduce((sum, gate) => sum + gate.inFlight, 0));
	counters.setGauge(Gauge.Queued, gates.reduce((sum, gate) => sum + gate.queued, 0));
	counters.setGauge(Gauge.RightLeft, Number.isFinite(rightLeftMs) ? Math.max(0, Math.round(rightLeftMs)) : 0);
}
