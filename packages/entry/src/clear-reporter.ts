import type { Vm } from '@sequoiaquay/core';
import type { BatchAppender, FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import { randomUUID } from 'node:crypto';
import type { ClaimHolder } from './claim-service';
import type { InFlight } from './in-flight';

/** Interval at which draining VMs are checked, in ms. */
const CHECK_INTERVAL_MS = 500;

/** Reports draining VMs on which this entry has nothing in flight and to which it sends no more requests. */
export class ClearReporter {
  readonly #reported = new Set<string>();

  constructor(
    private readonly replica: FleetReplica,
    private readonly inFlight: InFlight,
    private readonly appender: BatchAppender,
    private readonly holder: ClaimHolder,
    private readonly timers: TimerService,
  ) {}

  /** Watches draining VMs until the signal aborts. */
  start(signal: AbortSignal): void {
    this.replica.watch(
      CHECK_INTERVAL_MS,
      () => {
        this.check(signal);
      },
      signal,
    );
  }

  /** Reports each draining VM that waits for this entry and on which it has nothing in flight. */
  check(signal: AbortSignal): void {
    for (const vm of this.replica.state.vms.values()) {
      if (this.#isClear(vm)) {
        this.#report(vm, signal);
      }
    }
  }

  #isClear(vm: Vm): boolean {
    return (
      vm.state === 'draining' &&
      vm.drain?.waitingFor.get(this.holder.entry) === this.holder.incarnation &&
      !this.#reported.has(vm.drain.id) &&
      this.inFlight.isClear(vm.id)
    );
  }

  #report(vm: Vm, signal: AbortSignal): void {
    const drain = vm.drain?.id ?? '';
    this.#reported.add(drain);
    this.appender.append(
      {
        at: this.timers.now(),
        by: this.holder.entry,
        drain,
        id: randomUUID(),
        incarnation: this.holder.incarnation,
        kind: 'vm-clear',
        member: this.holder.entry,
        v: 1,
        vm: vm.id,
      },
      signal,
    );
  }
}
