import type { TimerService } from '@sequoiaquay/runtime';
import type { Histogram } from 'hdr-histogram-js';
import type { TraceShape } from './arrival-trace';
import type { PolicyFactory, PoolShape } from './policy';
import type { RunResult } from './pool-run';
import { MEAN_RUN_MS, recordTrace } from './arrival-trace';
import { bestOfTwo, leastInFlight, random, roundRobin, staticShare } from './baseline-policies';
import { ownerLoss } from './owner-loss-policy';
import { oneOwner } from './owner-policy';
import { PoolRun, WAIT_UNITS_PER_MS } from './pool-run';
import { formatTable } from './table';

/** Options of the comparison of policies. */
export interface SuiteOptions {
  durationMs: number;
  /** Load of a peak as a multiple of the pool's capacity. */
  peak: number;
  seed: number;
  timers: TimerService;
}

/** Pools of the two deployments. */
export const DEPLOYMENTS = {
  cooperative: { entries: 8, slots: 8, targets: 7 },
  stillwater: { entries: 8, slots: 8, targets: 8 },
} as const satisfies Record<string, PoolShape>;

const HEADER = [
  'policy',
  'short p50',
  'p99',
  'p99.9',
  'alone p50',
  'p99',
  'p99.9',
  'response p99 ratio',
  'long p99',
  'urgent max',
  'early',
  'late',
  'overfilled',
  'goodput',
  'us/request',
];

const PEAK_FACTOR = 5;

/** Compares the policies for one pool and returns the tables. */
export function comparePolicies(pool: PoolShape, options: SuiteOptions): string {
  const shape = traceShape(pool, options);
  const rows = [...baselines(), ...owners(pool)].map((factory) => compare(pool, factory, shape, options));
  const eighth = keptSlots(pool, 1 / 8);
  const guesses = [kept('learnt', eighth), kept('known', eighth)];
  const freshRows = guesses.map((factory) => compare(pool, factory, { ...shape, jobs: 'fresh' }, options));
  const mixedRows = guesses
    .slice(0, 1)
    .map((factory) => compare(pool, factory, { ...shape, jobs: 'mixed' }, options));
  const lossRows = losses(pool).map((factory) => compare(pool, factory, shape, options));
  return [
    formatTable(HEADER, rows),
    'Jobs that are new at the start of each peak:',
    formatTable(HEADER, freshRows),
    'One job that mixes all work, so that no class can be learnt:',
    formatTable(HEADER, mixedRows),
    'Owner lost three seconds into each peak, next owner after three more seconds:',
    formatTable(HEADER, lossRows),
  ].join('\n\n');
}

function traceShape(pool: PoolShape, options: SuiteOptions): TraceShape {
  const capacityPerSecond = (pool.targets * pool.slots * 1000) / MEAN_RUN_MS;
  return {
    durationMs: options.durationMs,
    entries: pool.entries,
    jobs: 'fixed',
    meanPerSecond: (capacityPerSecond * options.peak) / PEAK_FACTOR,
    seed: options.seed,
  };
}

function baselines(): PolicyFactory[] {
  return [roundRobin, random, bestOfTwo, leastInFlight, staticShare];
}

function owners(pool: PoolShape): PolicyFactory[] {
  const values = [0, 1 / 16, 1 / 8, 3 / 16, 1 / 4, 3 / 8, 1 / 2].map((share) => keptSlots(pool, share));
  return [
    oneOwner({ classes: 'one', keptShortSlots: 0, name: 'one owner, first come first served' }),
    ...values.map((value) => kept('learnt', value)),
    ...[1 / 8, 1 / 4, 3 / 8].map((share) => kept('known', keptSlots(pool, share))),
  ];
}

function kept(classes: 'known' | 'learnt', value: number): PolicyFactory {
  return oneOwner({ classes, keptShortSlots: value, name: `one owner, ${classes}, ${value} kept` });
}

function losses(pool: PoolShape): PolicyFactory[] {
  const common = { gapMs: 3000, keptShortSlots: keptSlots(pool, 1 / 8) };
  return [
    ownerLoss({ ...common, learnt: true, name: 'wait for the next owner', ownShare: false, report: true }),
    ownerLoss({ ...common, learnt: false, name: 'own share, nothing kept', ownShare: true, report: false }),
    ownerLoss({ ...common, learnt: false, name: 'own share, report', ownShare: true, report: true }),
    ownerLoss({ ...common, learnt: true, name: 'own share, report, classes', ownShare: true, report: true }),
  ];
}

function keptSlots(pool: PoolShape, share: number): number {
  return Math.round(pool.slots * pool.targets * share);
}

function compare(
  pool: PoolShape,
  factory: PolicyFactory,
  shape: TraceShape,
  { seed, timers }: SuiteOptions,
): string[] {
  const trace = recordTrace(shape);
  const short = trace.filter((arrival) => arrival.kind === 'short');
  const all = new PoolRun(pool, factory, seed, timers).run(trace);
  const alone = new PoolRun(pool, factory, seed, timers).run(short);
  return toRow(all, alone);
}

function toRow(all: RunResult, alone: RunResult): string[] {
  const ratio = wait(all.shortResponses, 99) / wait(alone.shortResponses, 99);
  return [
    all.name,
    ...[50, 99, 99.9].map((p) => format(wait(all.shortWaits, p))),
    ...[50, 99, 99.9].map((p) => format(wait(alone.shortWaits, p))),
    ratio.toFixed(2),
    format(wait(all.longWaits, 99)),
    format(wait(all.urgentWaits, 100)),
    String(all.early),
    String(all.late),
    String(all.overfilled),
    all.peakGoodput.toFixed(3),
    all.decisionUs.toFixed(1),
  ];
}

function wait(waits: Histogram, percentile: number): number {
  return waits.totalCount === 0 ? 0 : waits.getValueAtPercentile(percentile) / WAIT_UNITS_PER_MS;
}

function format(value: number): string {
  return value >= 100 ? value.toFixed(0) : value.toFixed(1);
}
