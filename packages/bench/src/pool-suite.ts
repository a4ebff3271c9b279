import type { TimerService } from '@sequoiaquay/runtime';
import type { Histogram } from 'hdr-histogram-js';
import type { TraceOptions } from './arrival-trace';
import type { PolicyFactory, PoolSize } from './policy';
import type { SimulationResult } from './pool-simulation';
import { generateTrace, MEAN_RUN_MS } from './arrival-trace';
import { bestOfTwo, leastInFlight, randomTarget, roundRobin, staticShare } from './baseline-policies';
import { ownerLoss } from './owner-loss-policy';
import { singleOwner } from './owner-policy';
import { HISTOGRAM_UNITS_PER_MS, PoolSimulation } from './pool-simulation';
import { formatTable } from './table';

/** Options of the policy comparison. */
export interface ComparisonOptions {
  durationMs: number;
  /** Load of a peak as a multiple of the pool's capacity. */
  peakFactor: number;
  seed: number;
  timers: TimerService;
}

/** Pool sizes of the two deployments. */
export const DEPLOYMENTS = {
  cooperative: { entries: 8, slots: 8, targets: 7 },
  stillwater: { entries: 8, slots: 8, targets: 8 },
} as const satisfies Record<string, PoolSize>;

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

/** Peak load of a generated trace as a multiple of its mean load. */
const TRACE_PEAK_FACTOR = 5;

/** Simulates the policies on one pool and returns the tables with their results. */
export function comparePolicies(pool: PoolSize, options: ComparisonOptions): string {
  const traceOptions = createTraceOptions(pool, options);
  const rows = [...createBaselines(), ...createSingleOwners(pool)].map((factory) =>
    measurePolicy(pool, factory, traceOptions, options),
  );
  const reservedEighth = countReservedSlots(pool, 1 / 8);
  const reservingPolicies = [
    createReservingOwner('learnt', reservedEighth),
    createReservingOwner('known', reservedEighth),
  ];
  const freshRows = reservingPolicies.map((factory) =>
    measurePolicy(pool, factory, { ...traceOptions, jobNaming: 'fresh' }, options),
  );
  const mixedRows = reservingPolicies
    .slice(0, 1)
    .map((factory) => measurePolicy(pool, factory, { ...traceOptions, jobNaming: 'mixed' }, options));
  const lossRows = createOwnerLosses(pool).map((factory) =>
    measurePolicy(pool, factory, traceOptions, options),
  );
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

function createTraceOptions(pool: PoolSize, options: ComparisonOptions): TraceOptions {
  const capacityPerSecond = (pool.targets * pool.slots * 1000) / MEAN_RUN_MS;
  return {
    durationMs: options.durationMs,
    entries: pool.entries,
    jobNaming: 'fixed',
    meanPerSecond: (capacityPerSecond * options.peakFactor) / TRACE_PEAK_FACTOR,
    seed: options.seed,
  };
}

function createBaselines(): PolicyFactory[] {
  return [roundRobin, randomTarget, bestOfTwo, leastInFlight, staticShare];
}

function createSingleOwners(pool: PoolSize): PolicyFactory[] {
  const reservedCounts = [0, 1 / 16, 1 / 8, 3 / 16, 1 / 4, 3 / 8, 1 / 2].map((share) =>
    countReservedSlots(pool, share),
  );
  return [
    singleOwner({ classifierKind: 'one', name: 'one owner, first come first served', reservedShortSlots: 0 }),
    ...reservedCounts.map((value) => createReservingOwner('learnt', value)),
    ...[1 / 8, 1 / 4, 3 / 8].map((share) => createReservingOwner('known', countReservedSlots(pool, share))),
  ];
}

function createReservingOwner(classifierKind: 'known' | 'learnt', reservedCount: number): PolicyFactory {
  return singleOwner({
    classifierKind,
    name: `one owner, ${classifierKind}, ${reservedCount} kept`,
    reservedShortSlots: reservedCount,
  });
}

function createOwnerLosses(pool: PoolSize): PolicyFactory[] {
  const common = { reservedShortSlots: countReservedSlots(pool, 1 / 8), takeoverDelayMs: 3000 };
  return [
    ownerLoss({
      ...common,
      isClassifierTrained: true,
      name: 'wait for the next owner',
      reportsGrants: true,
      usesMemberShares: false,
    }),
    ownerLoss({
      ...common,
      isClassifierTrained: false,
      name: 'own share, nothing kept',
      reportsGrants: false,
      usesMemberShares: true,
    }),
    ownerLoss({
      ...common,
      isClassifierTrained: false,
      name: 'own share, report',
      reportsGrants: true,
      usesMemberShares: true,
    }),
    ownerLoss({
      ...common,
      isClassifierTrained: true,
      name: 'own share, report, classes',
      reportsGrants: true,
      usesMemberShares: true,
    }),
  ];
}

function countReservedSlots(pool: PoolSize, share: number): number {
  return Math.round(pool.slots * pool.targets * share);
}

function measurePolicy(
  pool: PoolSize,
  factory: PolicyFactory,
  traceOptions: TraceOptions,
  { seed, timers }: ComparisonOptions,
): string[] {
  const trace = generateTrace(traceOptions);
  const shortTrace = trace.filter((arrival) => arrival.kind === 'short');
  const allResult = new PoolSimulation(pool, factory, seed, timers).run(trace);
  const shortOnlyResult = new PoolSimulation(pool, factory, seed, timers).run(shortTrace);
  return toRow(allResult, shortOnlyResult);
}

function toRow(allResult: SimulationResult, shortOnlyResult: SimulationResult): string[] {
  const ratio = percentileMs(allResult.shortResponses, 99) / percentileMs(shortOnlyResult.shortResponses, 99);
  return [
    allResult.name,
    ...[50, 99, 99.9].map((p) => formatMs(percentileMs(allResult.shortWaits, p))),
    ...[50, 99, 99.9].map((p) => formatMs(percentileMs(shortOnlyResult.shortWaits, p))),
    ratio.toFixed(2),
    formatMs(percentileMs(allResult.longWaits, 99)),
    formatMs(percentileMs(allResult.urgentWaits, 100)),
    String(allResult.early),
    String(allResult.late),
    String(allResult.overfilled),
    allResult.peakGoodput.toFixed(3),
    allResult.decisionUs.toFixed(1),
  ];
}

function percentileMs(waits: Histogram, percentile: number): number {
  return waits.totalCount === 0 ? 0 : waits.getValueAtPercentile(percentile) / HISTOGRAM_UNITS_PER_MS;
}

function formatMs(value: number): string {
  return value >= 100 ? value.toFixed(0) : value.toFixed(1);
}
