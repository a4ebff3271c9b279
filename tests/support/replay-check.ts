import type { FleetState } from '@sequoiaquay/core';
import { isServing, servingCount, toSnapshot } from '@sequoiaquay/core';
import { stringify as stableStringify } from 'safe-stable-stringify';
import type { Cluster } from './cluster';
import type { LogRecorder } from './log-recorder';
import { callJson, SECRET } from './cluster';
import { waitFor } from './wait-for';

/** Accepted drain that left a pool with fewer serving VMs than its availability budget. */
export interface BudgetViolation {
  budget: number;
  offset: number;
  pool: string;
  serving: number;
}

/** Result of a replay of the log with regard to the availability budgets. */
export interface BudgetReport {
  /** Number of accepted drains of serving VMs in pools with a budget. */
  drains: number;
  /** Smallest number of serving VMs of each pool right after an accepted drain. */
  fewestServing: Record<string, number>;
  /** Number of records refused because of a budget. */
  refusedForBudget: number;
  violations: BudgetViolation[];
}

/**
 * Replays the log and checks each accepted drain of a serving VM against the budget of its pool. With
 * `ignored`, the replayed settings contain no budgets, which shows what the same proposals do without the
 * budget rule.
 */
export function replayBudgets(
  log: LogRecorder,
  budgets: Record<string, number>,
  budgetRule: 'enforced' | 'ignored',
): BudgetReport {
  const report: BudgetReport = { violations: [], drains: 0, fewestServing: {}, refusedForBudget: 0 };
  const before = new Map<string, { pool: string; serving: boolean }>();
  log.replay(
    (state, offset, _value, result) => {
      if (result.isErr()) {
        report.refusedForBudget += result.error.reason === 'budget' ? 1 : 0;
      } else if (result.value.kind === 'vm-drain') {
        checkDrain(state, offset, budgets, before.get(result.value.vm), report);
      }
      for (const vm of state.vms.values()) {
        before.set(vm.id, { pool: vm.pool, serving: isServing(vm) });
      }
    },
    (value) => (budgetRule === 'ignored' ? withoutBudgets(value) : value),
  );
  return report;
}

function withoutBudgets(value: unknown): unknown {
  const text = JSON.stringify(value);
  return JSON.parse(text.replaceAll(/"minServing":\d+/g, '"minServing":0'));
}

function checkDrain(
  state: FleetState,
  offset: number,
  budgets: Record<string, number>,
  vm: { pool: string; serving: boolean } | undefined,
  report: BudgetReport,
): void {
  const budget = budgets[vm?.pool ?? ''];
  if (vm?.serving !== true || budget === undefined) {
    return;
  }
  const serving = servingCount(state, vm.pool);
  report.drains += 1;
  report.fewestServing[vm.pool] = Math.min(report.fewestServing[vm.pool] ?? serving, serving);
  if (serving < budget) {
    report.violations.push({ budget, offset, pool: vm.pool, serving });
  }
}

/** Returns a deterministic serialization of a fleet state. */
export function serializeState(state: FleetState): string {
  return stableStringify(toSnapshot(state));
}

/**
 * Waits until every control has applied all records before offset `next` and returns their serialized states.
 */
export async function readControlStates(cluster: Cluster, next: number): Promise<string[]> {
  return Promise.all(
    cluster.entries.map((vm) =>
      waitFor(`${vm.controlUrl} at offset ${next}`, 10_000, async () => {
        const answer = await callJson<{ result: { data: { state: { next: number } } } }>(
          `${vm.controlUrl}/rpc/fleetSnapshot`,
          'GET',
          { authorization: `Bearer ${SECRET}` },
        );
        const { state } = answer.result.data;
        return state.next === next ? stableStringify(state) : undefined;
      }),
    ),
  );
}
