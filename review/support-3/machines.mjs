import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout } from 'node:timers';

const UPKEEP_MS = 2000;

/** Stand-in of the platform's list of machines, with their upkeep. */
export class Machines {
  entries = new Map();
  upkeepBegan = new Map();

  constructor(site) {
    this.site = site;
  }

  async start() {
    this.server = createServer((req, res) => {
      void this.#handle(req, res);
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.server.unref();
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  /** Adds a machine, on which an executor runs; `renew` returns the executor that comes after an upkeep. */
  add(machine, executor, renew) {
    this.entries.set(machine, { executor, renew, state: 'up', token: 0 });
    this.site.record(`machine ${machine} is added, with executor ${executor.id}`);
  }

  async #handle(req, res) {
    const chunks = [];
    for await (const chunk of req) {
      chunks.push(chunk);
    }
    const answer = (status, body) => {
      res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
    };
    if (req.method === 'GET') {
      answer(200, { machines: [...this.entries].map(toRow) });
      return;
    }
    const { machine, wave } = JSON.parse(Buffer.concat(chunks).toString());
    const entry = this.entries.get(machine);
    const token = Number(req.headers['x-sequoiaquay-fencing-token']);
    if (entry === undefined || req.url !== '/machine-upkeep') {
      answer(400, {});
    } else if (token < entry.token) {
      answer(409, { reason: 'fence' });
    } else if (entry.state !== 'up') {
      answer(409, { reason: 'busy' });
    } else {
      entry.token = token;
      if (!this.upkeepBegan.has(`${wave} ${machine}`)) {
        this.#beginUpkeep(machine, entry, wave);
      }
      answer(200, {});
    }
  }

  #beginUpkeep(machine, entry, wave) {
    this.upkeepBegan.set(`${wave} ${machine}`, this.site.now());
    this.site.record(`upkeep of ${machine} begins for wave ${wave}`);
    entry.state = 'upkeep';
    entry.executor.crash();
    this.site.store.put('keyed.servers', entry.executor.id, undefined);
    setTimeout(() => {
      entry.executor = entry.renew();
      void entry.executor.start().then(() => {
        entry.state = 'up';
      });
    }, UPKEEP_MS).unref();
  }
}

function toRow([machine, { executor, state }]) {
  const { capacity, labels, service, zone } = executor.info;
  const id = state === 'up' ? { id: executor.id } : {};
  return { capacity, labels, machine, pool: service, state, zone, ...id };
}
