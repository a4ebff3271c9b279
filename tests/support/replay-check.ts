import type { FleetState } from '@sequoiaquay/core';
import { isServing, servingCount, toSnapshot } from '@sequoiaquay/core';
import { stringify as stableStringify } from 'safe-stable-stringify';
import type { Cluster } from './cluster';
import type { LogRecorder } from './log-recorder';
import { callJson, SECRET } from './cluster';
import { waitFor } from './wait-for';

/** A planned step after which a pool had fewer serving VMs than its budget. */
export interface BudgetBreak {
  budget: number;
  offset: number;
  pool: string;
  serving: number;
}

/** What a replay saw of the budgets. */
export interface BudgetReplay {
  breaks: BudgetBreak[];
  drains: number;
  /** Fewest serving VMs of each pool right after an accepted drain. */
  lowest: Record<string, number>;
  refusedForBudget: number;
}

/**
 * Replays the log and judges each accepted drain of a serving VM by the budget of its pool. With `lax`, the
 * fold knows no budgets, which shows what the same proposals would have done without the rule.
 */
export function replayBudgets(
  log: LogRecorder,
  budgets: Record<string, number>,
  rule: 'lax' | 'strict',
): BudgetReplay {
  const seen: BudgetReplay = { breaks: [], drains: 0, lowest: {}, refusedForBudget: 0 };
  const before = new Map<string, { pool: string; serving: boolean }>();
  log.replay(
    (state, offset, _value, verdict) => {
      if (verdict.isErr()) {
        seen.refusedForBudget += verdict.error.reason === 'budget' ? 1 : 0;
      } else if (verdict.value.kind === 'vm-drain') {
        judgeDrain(state, offset, budgets, before.get(verdict.value.vm), seen);
      }
      for (const vm of state.vms.values()) {
        before.set(vm.id, { pool: vm.pool, serving: isServing(vm) });
      }
    },
    (value) => (rule === 'lax' ? withoutBudgets(value) : value),
  );
  return seen;
}

function withoutBudgets(value: unknown): unknown {
  const text = JSON.stringify(value);
  return JSON.parse(text.replaceAll(/"minServing":\d+/g, '"minServing":0'));
}

function judgeDrain(
  state: FleetState,
  offset: number,
  budgets: Record<string, number>,
  vm: { pool: string; serving: boolean } | undefined,
  seen: BudgetReplay,
): void {
  const budget = budgets[vm?.pool ?? ''];
  if (vm?.serving !== true || budget === undefined) {
    return;
  }
  const serving = servingCount(state, vm.pool);
  seen.drains += 1;
  seen.lowest[vm.pool] = Math.min(seen.lowest[vm.pool] ?? serving, serving);
  if (serving < budget) {
    seen.breaks.push({ budget, offset, pool: vm.pool, serving });
  }
}

/** Deterministic text of a fleet state. */
export function stateText(state: FleetState): string {
  return stableStringify(toSnapshot(state));
}

/** Waits until every control has folded up to an offset and gives the text of its state. */
export async function controlStates(cluster: Cluster, next: number): Promise<string[]> {
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
