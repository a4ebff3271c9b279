import type { ListedVm } from '@sequoiaquay/platform';
import { Hono } from 'hono';
import { setTimeout as delay } from 'node:timers/promises';
import type { PlatformFaults } from './platform-faults';
import { platformFaultsSchema } from './platform-faults';
import { seededRandom } from './random';
import { StreamStore } from './stream-store';

/** Settings of the platform stand-in. */
export interface PlatformStandInSettings {
  /** Appends accepted per second from all clients together; further ones are refused with 429. */
  appendsPerSecond: number;
  /** Duration of a reboot, in ms. */
  rebootMs: number;
  /** Maximum number of records kept in each stream. */
  retentionRecords: number;
  /** Bearer token that clients must send. */
  secret: string;
  /** Seed of the random choice of lost append responses. */
  seed: number;
  /** Age of the VM list that is returned, in ms. */
  vmListLagMs: number;
}

const READ_POLL_INTERVAL_MS = 5;
const MAX_READ_RECORDS = 1000;

/** In-memory stand-in for the platform's log service and VM service. For tests and the quickstart only. */
export class PlatformStandIn {
  #appendsThisSecond = 0;
  readonly app = new Hono();
  /** Counters served under /admin/counters. */
  readonly counters = { appends: 0, appendsRefused: 0, lostAnswers: 0, reads: 0 };
  #faults: PlatformFaults = platformFaultsSchema.parse({});
  readonly #vmListHistory: { at: number; vms: ListedVm[] }[] = [];
  readonly #random: () => number;
  #currentSecond = 0;
  readonly #streamsByName = new Map<string, StreamStore>();
  readonly #vmsById = new Map<string, ListedVm>();

  constructor(private readonly settings: PlatformStandInSettings) {
    this.#random = seededRandom(settings.seed);
    this.#addAdminRoutes();
    this.#addRequestChecks();
    this.#addStreamRoutes();
    this.#addVmRoutes();
  }

  /** Returns the stream with a name and creates it on first use. */
  getOrCreateStream(name: string): StreamStore {
    const existing = this.#streamsByName.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const created = new StreamStore(this.settings.retentionRecords);
    this.#streamsByName.set(name, created);
    return created;
  }

  /** Replaces the injected faults; omitted ones are disabled. */
  setFaults(faults: Partial<PlatformFaults>): void {
    this.#faults = platformFaultsSchema.parse(faults);
  }

  /** Adds a VM to the list or replaces it. */
  putVm(vm: ListedVm): void {
    this.#vmsById.set(vm.id, vm);
    this.#recordVmList();
  }

  /** Removes a VM from the list. */
  removeVm(id: string): void {
    this.#vmsById.delete(id);
    this.#recordVmList();
  }

  #recordVmList(): void {
    this.#vmListHistory.push({ at: Date.now(), vms: [...this.#vmsById.values()] });
  }

  #addAdminRoutes(): void {
    this.app.put('/admin/faults', async (c) => {
      this.setFaults(platformFaultsSchema.parse(await c.req.json()));
      return c.json({ accepted: true });
    });
    this.app.get('/admin/counters', (c) => c.json(this.counters));
    this.app.get('/admin/streams/:stream', (c) => {
      const stream = this.getOrCreateStream(c.req.param('stream'));
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

  #addRequestChecks(): void {
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

  #addStreamRoutes(): void {
    this.app.post('/v1/streams/:stream/records', async (c) => {
      if (!this.#tryAdmitAppend()) {
        return c.json({ error: 'too many appends' }, 429);
      }
      const body = await c.req.json<{ records: unknown[] }>();
      const offset = this.getOrCreateStream(c.req.param('stream')).append(body.records);
      if (this.#random() < this.#faults.loseAppendAnswers) {
        this.counters.lostAnswers += 1;
        return c.json({ error: 'answer lost' }, 504);
      }
      return c.json({ offset });
    });
    this.app.get('/v1/streams/:stream/records', async (c) => {
      this.counters.reads += 1;
      const stream = this.getOrCreateStream(c.req.param('stream'));
      const from = Number(c.req.query('from') ?? 0);
      if (from < stream.oldest) {
        return c.json({ error: 'below the oldest record', oldest: stream.oldest }, 410);
      }
      await this.#waitForRecord(stream, from, Number(c.req.query('waitMs') ?? 0), c.req.raw.signal);
      const limit = Math.min(MAX_READ_RECORDS, Number(c.req.query('limit') ?? MAX_READ_RECORDS));
      return c.json({ end: stream.end, oldest: stream.oldest, records: stream.read(from, limit) });
    });
  }

  async #waitForRecord(
    stream: StreamStore,
    fromOffset: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const deadlineAt = Date.now() + waitMs;
    while (stream.end <= fromOffset && Date.now() < deadlineAt && !signal.aborted && !this.#faults.down) {
      await delay(READ_POLL_INTERVAL_MS);
    }
  }

  #tryAdmitAppend(): boolean {
    const second = Math.floor(Date.now() / 1000);
    if (second !== this.#currentSecond) {
      this.#currentSecond = second;
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

  #addVmRoutes(): void {
    this.app.get('/v1/vms', (c) => {
      const asOf = Date.now() - this.settings.vmListLagMs;
      const snapshot = this.#vmListHistory.findLast((entry) => entry.at <= asOf);
      return c.json({ asOf, vms: snapshot?.vms ?? [] });
    });
    this.app.post('/v1/vms/:id/reboot', (c) => {
      const vm = this.#vmsById.get(c.req.param('id'));
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
