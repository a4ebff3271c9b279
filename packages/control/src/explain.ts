import type { FleetState, Vm } from '@sequoiaquay/core';
import type { EntryStatus, TaskView } from '@sequoiaquay/entry';
import type { TimelineEvent } from '@sequoiaquay/runtime';
import { isServing, minServing, servingCount, vmsOfPool } from '@sequoiaquay/core';
import type { JournalEntry } from './journal';
import type { PeerAnswer } from './operator-peers';

/** Explanation of the present state of a VM, pool, task or request. */
export interface Explanation {
  /** Events about the subject from all processes that answered, oldest first. */
  events: TimelineEvent[];
  id: string;
  kind: ExplainedKind;
  /** Records about the subject that this control process has applied, with their results, in log order. */
  records: JournalEntry[];
  /** Names or addresses of processes that did not answer. */
  silent: string[];
  /** Human-readable lines, the present state first. */
  summary: string[];
}

/** Kinds of subjects that can be explained. */
export const EXPLAINED_KINDS = ['vm', 'pool', 'task', 'request'] as const;
/** Kind of a subject that can be explained. */
export type ExplainedKind = (typeof EXPLAINED_KINDS)[number];

/** Describes a VM's state; for a draining VM also which entries the drain waits for and why. */
export function explainVm(
  vm: Vm | undefined,
  id: string,
  records: readonly JournalEntry[],
  entries: readonly PeerAnswer<EntryStatus>[],
): string[] {
  if (vm === undefined) {
    return [`VM ${id} is not registered`, ...describeLastRejection(records)];
  }
  const lines = [
    `VM ${id} is ${vm.state}, health ${vm.health}, in pool ${vm.pool}, zone ${vm.zone}, rack ${vm.rack}`,
  ];
  if (vm.drain !== undefined) {
    const { drain } = vm;
    const record = records.find((entry) => entry.id === drain.id);
    const purpose = drain.to === undefined ? drain.purpose : `${drain.purpose} to pool ${drain.to}`;
    const proposedBy = record === undefined ? 'an unknown writer' : record.by;
    lines.push(
      `drain ${drain.id} for ${purpose}, asked by ${proposedBy}, accepted at offset ${drain.offset}`,
    );
    lines.push(
      ...[...drain.waitingFor].map(([name, incarnation]) =>
        describeDrainWait(vm, name, incarnation, entries),
      ),
    );
  }
  if (vm.state === 'released') {
    lines.push('every entry is clear of it; it serves again when it is reported up after its reboot');
  }
  return [...lines, ...describeLastRejection(records)];
}

/** Describes a pool: its disruption budget, and each VM that does not serve. */
export function explainPool(state: FleetState, pool: string, records: readonly JournalEntry[]): string[] {
  const team = state.poolOwners.get(pool);
  if (team === undefined) {
    return [`pool ${pool} doesn't exist`, ...describeLastRejection(records)];
  }
  const serving = servingCount(state, pool);
  const budget = minServing(state, pool);
  const version = state.branches.get(team)?.version ?? 0;
  return [
    `pool ${pool} of team ${team} (settings version ${version}) has ${serving} serving VMs, budget ${budget}`,
    describeDrainMargin(serving, budget),
    ...vmsOfPool(state, pool)
      .filter((vm) => !isServing(vm))
      .map((vm) => `VM ${vm.id} does not serve: ${vm.state}, health ${vm.health}`),
    ...describeLastRejection(records),
  ];
}

/** Describes a task: its state, and each attempt that ended without an answer. */
export function explainTask(task: TaskView): string[] {
  const onWorker = task.worker === undefined ? '' : ` on ${task.worker}`;
  const progress = `${Math.round(100 * task.progress)}% done`;
  const outcome = task.outcome === undefined ? '' : `, outcome ${task.outcome}`;
  return [
    `task ${task.id} of pool ${task.pool}, job ${task.job}, is ${task.state}${outcome}`,
    task.attempt === 0 ? 'it has not been started' : `attempt ${task.attempt}${onWorker}, ${progress}`,
    ...task.tries.map((attempt) =>
      `attempt ${attempt.attempt} on ${attempt.worker} ended: ${attempt.cause} ${attempt.reason}`.trimEnd(),
    ),
  ];
}

/** Describes a request from the events that all processes recorded about it. */
export function explainRequest(id: string, events: readonly TimelineEvent[]): string[] {
  if (events.length === 0) {
    return [`no process that answered remembers request ${id}`];
  }
  return events.map((event) => {
    const data = Object.entries(event.data).map(([name, value]) => `${name} ${value}`);
    return [`${event.process}: ${event.kind.replace(/^request-/, '')}`, ...data].join(', ');
  });
}

function describeDrainWait(
  vm: Vm,
  name: string,
  incarnation: number,
  entries: readonly PeerAnswer<EntryStatus>[],
): string {
  const prefix = `waits for ${name}`;
  const peer = entries.find((entry) => entry.name === name);
  if (peer === undefined) {
    return `${prefix}: it is no longer a member`;
  }
  if (peer.answer.isErr()) {
    return `${prefix}: it does not answer; the drain goes on when it answers, restarts, or leaves the platform's list`;
  }
  const status = peer.answer.value;
  if (status.incarnation !== incarnation) {
    return `${prefix}: it has restarted and its new incarnation has not joined yet`;
  }
  const offset = vm.drain?.offset ?? 0;
  if (status.next <= offset) {
    return `${prefix}: it has applied records up to offset ${status.next - 1} and the drain is at ${offset}`;
  }
  const count = status.inFlight[vm.id] ?? 0;
  if (count > 0) {
    return `${prefix}: it has ${count} ${count === 1 ? 'request' : 'requests'} in flight on the VM`;
  }
  const granted = status.granted[vm.id] ?? 0;
  return granted > 0
    ? `${prefix}: its queue has given out ${granted} ${granted === 1 ? 'grant' : 'grants'} on the VM`
    : `${prefix}: it has nothing in flight on the VM; its record has not reached the log`;
}

function describeDrainMargin(serving: number, budget: number): string {
  const spare = serving - budget;
  return spare > 0
    ? `${spare} more of its VMs can be drained now`
    : 'no VM of it can be drained now without breaking the budget';
}

function describeLastRejection(records: readonly JournalEntry[]): string[] {
  const last = records.at(-1);
  if (last === undefined || last.accepted) {
    return [];
  }
  return [`the last proposal, ${last.kind} by ${last.by}, was rejected: ${last.reason} (${last.detail})`];
}
