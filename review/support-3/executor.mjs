import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { performance } from 'node:perf_hooks';
import { setInterval, clearInterval, setTimeout, clearTimeout } from 'node:timers';

const TICK_MS = 5;

/**
 * Stand-in of an executor: runs, leases on its own steady clock, fencing, ends. Its clients reach it through a relay of
 * its own, which can be cut. What a run does is stated in the specification: `{"ms": duration}`.
 */
export class Executor {
  #relays = new Set();
  #isCut = false;
  runs = new Map();
  finished = [];
  ended = new Map();
  hasEnded = false;
  lastNumber = 0;
  token = 0;
  leaseEnd = -Infinity;
  #waiting = new Set();
  #sequence = 0;

  /**
   * `site` has `store`, `record(text)`, `history` (all runs of all executors) and `heartbeatMs`; `info` the entry's
   * service, labels, capacity and zone; `clockRate` the rate of the steady clock; `onStart` is called for each run that
   * has started.
   */
  constructor(
    site,
    id,
    info,
    { clockRate = 1, onStart = () => undefined, port = 0, registerAfterMs = 0 } = {},
  ) {
    Object.assign(this, { clockRate, id, info, onStart, port, registerAfterMs, site });
  }

  async start() {
    this.bornAt = Date.now();
    this.startedAt = performance.now();
    this.server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
      void this.#handle(req, res);
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.gate = createTcpServer((socket) => {
      this.#relay(socket);
    });
    await new Promise((resolve) => this.gate.listen(this.port, '127.0.0.1', resolve));
    this.port = this.gate.address().port;
    this.timer = setInterval(() => {
      this.#tick();
    }, TICK_MS);
    const beat = () => {
      this.#register();
      this.heartbeat = setTimeout(beat, this.site.heartbeatMs);
    };
    if (this.registerAfterMs === 0) {
      beat();
    } else {
      this.heartbeat = setTimeout(beat, this.registerAfterMs);
    }
  }

  get clock() {
    return Math.floor((performance.now() - this.startedAt) * this.clockRate);
  }

  /** The process ends without a word: its port is closed, nothing runs. */
  crash() {
    this.hasEnded = true;
    clearInterval(this.timer);
    clearTimeout(this.heartbeat);
    this.gate.close();
    for (const relay of this.#relays) {
      relay.forEach((socket) => socket.destroy());
    }
    this.server.closeAllConnections();
    this.server.close();
    for (const run of this.runs.values()) {
      run.endedAt = this.site.now();
      run.how = 'crash';
    }
    this.runs.clear();
    this.site.record(`${this.id} has crashed`);
  }

  /** Cuts the path between the system and this executor, silently, for a time in ms; it runs on. */
  cut(ms) {
    this.#isCut = true;
    for (const relay of this.#relays) {
      relay.forEach((socket) => socket.pause());
    }
    this.site.record(`${this.id} is cut off for ${ms} ms`);
    setTimeout(() => {
      this.#isCut = false;
      for (const relay of this.#relays) {
        relay.forEach((socket) => socket.destroy());
      }
      this.site.record(`${this.id} is reachable again`);
    }, ms).unref();
  }

  #relay(socket) {
    socket.on('error', () => undefined);
    if (this.#isCut) {
      socket.pause();
      const held = [socket];
      this.#relays.add(held);
      socket.once('close', () => this.#relays.delete(held));
      return;
    }
    const inner = connect(this.server.address().port, '127.0.0.1');
    const pair = [socket, inner];
    this.#relays.add(pair);
    inner.on('error', () => undefined);
    const forward = (from, to) => {
      from.on('data', (chunk) => {
        to.write(chunk);
      });
      from.once('close', () => {
        this.#relays.delete(pair);
        to.destroy();
      });
    };
    forward(socket, inner);
    forward(inner, socket);
  }

  #register() {
    this.#sequence += 1;
    const { capacity, labels, service, zone } = this.info;
    this.site.store.put('keyed.servers', this.id, {
      address: `127.0.0.1:${this.port}`,
      born: this.bornAt,
      capacity,
      cold_remaining_ms: 0,
      labels,
      sequence: this.#sequence,
      service,
      slots: 8,
      state: 'ready',
      version: '1',
      zone,
    });
  }

  #tick() {
    if (this.runs.size > 0 && this.clock >= this.leaseEnd) {
      for (const key of [...this.runs.keys()]) {
        this.#end(key, 'lapsed');
      }
    }
    const now = this.site.now();
    for (const [key, run] of this.runs) {
      if (now - run.startedAt >= run.ms) {
        this.#end(key, 'done');
      }
    }
  }

  #end(key, how) {
    const run = this.runs.get(key);
    this.runs.delete(key);
    run.endedAt = this.site.now();
    run.how = how;
    this.lastNumber += 1;
    this.finished.push([this.lastNumber, run.task, run.run, how, '']);
    this.ended.set(run.task, Math.max(run.run, this.ended.get(run.task) ?? 0));
    this.site.record(`${this.id}: run ${run.run} of ${run.task} has ended: ${how}`);
    this.#waiting.forEach((wake) => wake());
  }

  async #handle(req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const answer = (status, body) => {
      if (!res.destroyed) {
        const text = JSON.stringify({ clock_ms: this.clock, ...body });
        res.writeHead(status, {
          'content-length': Buffer.byteLength(text),
          'content-type': 'application/json',
        });
        res.end(text);
      }
    };
    const expected = req.headers['x-sequoiaquay-expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      answer(421, {});
      return;
    }
    const call = JSON.parse(Buffer.concat(chunks).toString() || '{}');
    const token = call.fencing_token ?? 0;
    if (token < this.token) {
      answer(409, { reason: 'fence' });
      return;
    }
    this.token = token;
    const heldMs = req.url === '/hold' ? undefined : this.site.holdOrder(this, req.url, call);
    if (heldMs !== undefined) {
      setTimeout(() => {
        this.#carryOutLate(req.url, call);
      }, heldMs).unref();
      return;
    }
    switch (req.url) {
      case '/run-start':
        this.#onStart(call, answer);
        return;
      case '/run-stop':
        this.#onStop(call, answer);
        return;
      case '/hold':
        await this.#onHold(call, answer);
        return;
      default:
        answer(200, {});
    }
  }

  // The fence of a later call holds for it as well.
  #carryOutLate(path, call) {
    if (!this.hasEnded && (call.fencing_token ?? 0) >= this.token) {
      this.site.record(`${this.id}: ${path} of run ${call.run} of ${call.task} is carried out late`);
      const noAnswer = () => undefined;
      if (path === '/run-start') {
        this.#onStart(call, noAnswer);
      } else if (path === '/run-stop') {
        this.#onStop(call, noAnswer);
      }
    }
  }

  #extend(deadline) {
    if (deadline !== undefined) {
      this.leaseEnd = Math.max(this.leaseEnd, Math.min(deadline, this.clock + this.site.maxHoldMs));
    }
  }

  #onStart(call, answer) {
    const { deadline_ms: deadline, run, specification, task } = call;
    if (deadline <= this.clock) {
      answer(409, { reason: 'late' });
      return;
    }
    this.#extend(deadline);
    if (this.runs.get(task)?.run === run) {
      answer(200, {});
      return;
    }
    if (run <= (this.ended.get(task) ?? 0) || this.runs.has(task)) {
      answer(409, { reason: 'old' });
      return;
    }
    const entry = {
      executor: this.id,
      labels: this.info.labels,
      ms: JSON.parse(specification).ms,
      run,
      startedAt: this.site.now(),
      task,
    };
    this.runs.set(task, entry);
    this.site.history.push(entry);
    const leaseMs = this.leaseEnd - this.clock;
    this.site.record(
      `${this.id}: run ${run} of ${task} has started (token ${call.fencing_token}, lease ${leaseMs} ms of its clock)`,
    );
    answer(200, {});
    this.onStart(entry, this);
  }

  #onStop({ run, task }, answer) {
    this.ended.set(task, Math.max(run, this.ended.get(task) ?? 0));
    if (this.runs.get(task)?.run === run) {
      this.#end(task, 'stopped');
    }
    answer(200, {});
  }

  async #onHold(call, answer) {
    this.#extend(call.deadline_ms);
    this.finished = this.finished.filter(([number]) => number > (call.last_seen ?? 0));
    const waitMs = Math.min(2000, call.wait_ms ?? 0);
    if (waitMs > 0 && this.finished.length === 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        this.#waiting.add(wake);
      });
    }
    const running = [...this.runs.values()].map(({ ms, run, startedAt, task }) => [
      task,
      run,
      '',
      Math.floor(Math.min(99, (100 * (this.site.now() - startedAt)) / ms)),
      0,
    ]);
    answer(200, { born: this.bornAt, finished: this.finished.slice(0, 500), running });
  }
}
