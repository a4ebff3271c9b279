import type { ListedVm } from '@sequoiaquay/platform';
import { Hono } from 'hono';
import { setTimeout as delay } from 'node:timers/promises';
import type { PlatformFaults } from './platform-faults';
import { platformFaultsSchema } from './platform-faults';
import { seededRandom } from './random';
import { StreamStore } from './stream-store';

/** Settings of the platform stand-in. */
export interface PlatformStandInSettings {
  /** Appends taken each second over all clients; more are refused with 429. */
  appendsPerSecond: number;
  /** Time that a reboot takes, in ms. */
  rebootMs: number;
  /** Records kept in each stream. */
  retention: number;
  secret: string;
  seed: number;
  /** Time by which the VM list lags, in ms. */
  vmListLagMs: number;
}

const POLL_STEP_MS = 5;
const MAX_READ = 1000;

/** Stand-in for the platform's log service and VM list, in memory. For tests and the quickstart only. */
export class PlatformStandIn {
  #appendsThisSecond = 0;
  readonly app = new Hono();
  readonly counters = { appends: 0, appendsRefused: 0, lostAnswers: 0, reads: 0 };
  #faults: PlatformFaults = platformFaultsSchema.parse({});
  readonly #history: { at: number; vms: ListedVm[] }[] = [];
  readonly #random: () => number;
  #second = 0;
  readonly #streams = new Map<string, StreamStore>();
  readonly #vms = new Map<string, ListedVm>();

  constructor(private readonly settings: PlatformStandInSettings) {
    this.#random = seededRandom(settings.seed);
    this.#routeAdmin();
    this.#guard();
    this.#routeStreams();
    this.#routeVms();
  }

  /** Stream of a name, created at first use. */
  stream(name: string): StreamStore {
    const known = this.#streams.get(name);
    if (known !== undefined) {
      return known;
    }
    const created = new StreamStore(this.settings.retention);
    this.#streams.set(name, created);
    return created;
  }

  /** Sets the faults shown from now on. */
  setFaults(faults: Partial<PlatformFaults>): void {
    this.#faults = platformFaultsSchema.parse(faults);
  }

  /** Adds or replaces a VM of the list. */
  putVm(vm: ListedVm): void {
    this.#vms.set(vm.id, vm);
    this.#recordVms();
  }

  /** Removes a VM from the list. */
  removeVm(id: string): void {
    this.#vms.delete(id);
    this.#recordVms();
  }

  #recordVms(): void {
    this.#history.push({ at: Date.now(), vms: [...this.#vms.values()] });
  }

  #routeAdmin(): void {
    this.app.put('/admin/faults', async (c) => {
      this.setFaults(platformFaultsSchema.parse(await c.req.json()));
      return c.json({ accepted: true });
    });
    this.app.get('/admin/counters', (c) => c.json(this.counters));
    this.app.get('/admin/streams/:stream', (c) => {
      const stream = this.stream(c.req.param('stream'));
      return c.json({ oldest: stream.oldest, records: stream.read(stream.oldest, Number.MAX_SAFE_INTEGER) });
    });
    this.app.put('/admin/vms/:id', async (c) => {
      this.putVm(await c.req.json());
      return c.json({ accepted: true });
    });
    this.app.delete('/admin/vms/:id', (c) => {
      this.removeVm(c.req.param('id'));
      return c.json({ accepted: true });
    });
  }

  #guard(): void {
    this.app.use('/v1/*', async (c, next) => {
      if (c.req.header('authorization') !== `Bearer ${this.settings.secret}`) {
        return c.json({ error: 'bad secret' }, 401);
      }
      await delay(this.#faults.slowMs);
      if (this.#faults.down) {
        return c.json({ error: 'outage' }, 503);
      }
      await next();
      return undefined;
    });
  }

  #routeStreams(): void {
    this.app.post('/v1/streams/:stream/records', async (c) => {
      if (!this.#takeAppend()) {
        return c.json({ error: 'too many appends' }, 429);
      }
      const body = await c.req.json<{ records: unknown[] }>();
      const offset = this.stream(c.req.param('stream')).append(body.records);
      if (this.#random() < this.#faults.loseAppendAnswers) {
        this.counters.lostAnswers += 1;
        return c.json({ error: 'answer lost' }, 504);
      }
      return c.json({ offset });
    });
    this.app.get('/v1/streams/:stream/records', async (c) => {
      this.counters.reads += 1;
      const stream = this.stream(c.req.param('stream'));
      const from = Number(c.req.query('from') ?? 0);
      if (from < stream.oldest) {
        return c.json({ error: 'below the oldest record', oldest: stream.oldest }, 410);
      }
      await this.#waitForRecord(stream, from, Number(c.req.query('waitMs') ?? 0), c.req.raw.signal);
      const limit = Math.min(MAX_READ, Number(c.req.query('limit') ?? MAX_READ));
      return c.json({ end: stream.end, oldest: stream.oldest, records: stream.read(from, limit) });
    });
  }

  async #waitForRecord(
    stream: StreamStore,
    from: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const until = Date.now() + waitMs;
    while (stream.end <= from && Date.now() < until && !signal.aborted && !this.#faults.down) {
      await delay(POLL_STEP_MS);
    }
  }

  #takeAppend(): boolean {
    const second = Math.floor(Date.now() / 1000);
    if (second !== this.#second) {
      this.#second = second;
      this.#appendsThisSecond = 0;
    }
    this.#appendsThisSecond += 1;
    if (this.#appendsThisSecond > this.settings.appendsPerSecond) {
      this.counters.appendsRefused += 1;
      return false;
    }
    this.counters.appends += 1;
    return true;
  }

  #routeVms(): void {
    this.app.get('/v1/vms', (c) => {
      const asOf = Date.now() - this.settings.vmListLagMs;
      const seen = this.#history.findLast((entry) => entry.at <= asOf);
      return c.json({ asOf, vms: seen?.vms ?? [] });
    });
    this.app.post('/v1/vms/:id/reboot', (c) => {
      const vm = this.#vms.get(c.req.param('id'));
      if (vm === undefined) {
        return c.json({ error: 'no such VM' }, 404);
      }
      this.removeVm(vm.id);
      setTimeout(() => {
        this.putVm(vm);
      }, this.settings.rebootMs);
      return c.json({ accepted: true });
    });
    this.app.post('/v1/vms/:id/remove', (c) => {
      this.removeVm(c.req.param('id'));
      return c.json({ accepted: true });
    });
  }
}
