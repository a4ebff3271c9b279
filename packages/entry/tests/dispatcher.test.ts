import type { Server } from 'node:http';
import { SystemTimerService } from '@sequoiaquay/runtime';
import { EventRing, Metrics } from '@sequoiaquay/runtime';
import { LatencyHistograms } from '@sequoiaquay/runtime';
import { err, ok } from 'neverthrow';
import { createServer } from 'node:http';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { ClaimService } from '../src/claim-service';
import type { GrantSource } from '../src/grant-source';
import type { RequestPlan } from '../src/request-plan';
import { ByteBudget } from '../src/byte-budget';
import { RequestDispatcher } from '../src/dispatcher';
import { LeavingVms } from '../src/leaving-vms';
import { PauseGuard } from '../src/pause-guard';
import { RequestMeter } from '../src/request-meter';
import { TargetClient } from '../src/target-client';
import { TargetHealth } from '../src/target-health';
import { fixedReplica, POOL, poolState } from './support/members';

const timers = new SystemTimerService();
const NEVER = new AbortController().signal;

/** Target that answers every request, or closes the connection after it has read the request. */
class Target {
  address = '';
  received = 0;
  readonly #server: Server;

  constructor(isWorking: boolean) {
    this.#server = createServer((req, res) => {
      this.received += 1;
      req.resume().on('end', () => (isWorking ? res.end('{}') : req.socket.destroy()));
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    const address = this.#server.address();
    this.address = `127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`;
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

const targets = { broken: new Target(false), other: new Target(false), works: new Target(true) };

beforeAll(async () => {
  await Promise.all(Object.values(targets).map((target) => target.start()));
});

afterAll(() => {
  for (const target of Object.values(targets)) {
    target.stop();
  }
});

function createDispatcher(names: (keyof typeof targets)[], maxBytes = 1000): RequestDispatcher {
  const state = poolState(Object.fromEntries(names.map((name) => [name, 8])), 0);
  const replica = fixedReplica(state);
  const health = new TargetHealth(replica, timers);
  let seed = 0;
  const grants: GrantSource = {
    acquire: ({ excluded }) => {
      seed += 1;
      const remaining = names.filter((name) => !excluded.has(name));
      const vm = remaining[seed % remaining.length];
      return Promise.resolve(
        vm === undefined
          ? err({ detail: 'none left', reason: 'no-target', waitMs: 0 })
          : ok({ address: targets[vm].address, release: () => undefined, isValid: () => true, vm }),
      );
    },
  };
  return new RequestDispatcher({
    byteBudget: new ByteBudget(maxBytes),
    claims: undefined as unknown as ClaimService,
    grants,
    guard: new PauseGuard(() => Promise.resolve(true), { maxGapMs: 60_000 }, timers),
    health,
    leaving: new LeavingVms(),
    meter: new RequestMeter(new EventRing('entry', 10, timers), new LatencyHistograms(), new Metrics()),
    replica,
    stopping: NEVER,
    targets: new TargetClient({ bufferLimitBytes: 1000, maxConnections: 4, connectTimeoutMs: 500 }),
    timers,
  });
}

function createPlan(id: string): RequestPlan {
  const job = { repeatable: true, timeoutMs: 5000, urgent: false };
  return {
    body: Buffer.from('0123456789'),
    contentType: 'text/plain',
    timeoutMs: 5000,
    digest: '',
    id,
    job: 'quote',
    jobSettings: job,
    key: undefined,
    pool: POOL,
    poolSettings: { jobs: { quote: job }, minServing: 0 },
    repeatable: true,
    team: 'voyages',
  };
}

describe('dispatcher', () => {
  // Guards against a broken target that keeps receiving requests.
  it('retries repeatable requests on another target and stops using a target that keeps failing', async () => {
    const dispatcher = createDispatcher(['broken', 'works']);
    let answered = 0;
    for (let index = 0; index < 60; index += 1) {
      answered += (await dispatcher.dispatch(createPlan(`r${index}`), NEVER)).isOk() ? 1 : 0;
    }
    expect(targets.broken.received).toBeLessThanOrEqual(6);
    expect(answered).toBeGreaterThanOrEqual(55);
  });

  // Guards against retries that multiply the load of a pool in which all targets fail.
  it('does not exceed the retry budget when every target fails', async () => {
    targets.broken.received = 0;
    const dispatcher = createDispatcher(['broken', 'other']);
    for (let index = 0; index < 4; index += 1) {
      expect((await dispatcher.dispatch(createPlan(`f${index}`), NEVER)).isErr()).toBe(true);
    }
    expect(targets.broken.received + targets.other.received).toBeLessThanOrEqual(6);
  });

  it('refuses immediately when the byte budget is exhausted and accepts again after a release', async () => {
    const dispatcher = createDispatcher(['works'], 15);
    const [first, second] = await Promise.all([
      dispatcher.dispatch(createPlan('b1'), NEVER),
      dispatcher.dispatch(createPlan('b2'), NEVER),
    ]);
    expect(first.isOk()).toBe(true);
    expect(second._unsafeUnwrapErr()).toMatchObject({ outcome: 'not-run', reason: 'entry-overloaded' });
    expect((await dispatcher.dispatch(createPlan('b3'), NEVER)).isOk()).toBe(true);
  });
});
