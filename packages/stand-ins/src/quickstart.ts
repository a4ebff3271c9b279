import { EXIT_CODE, runCli } from '@sequoiaquay/cli';
import { createLogger } from 'bunyan';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { EmbeddedSite } from './embedded-site';

const TEAM = 'voyages';

const BRANCH = {
  pools: {
    batch: { jobs: { render: { repeatable: true, timeoutMs: 5000 } }, minServing: 1 },
    bookings: {
      jobs: {
        charge: { repeatable: false, timeoutMs: 5000 },
        quote: { repeatable: true, timeoutMs: 5000 },
      },
      minServing: 2,
    },
    fares: { jobs: { search: { repeatable: true, timeoutMs: 5000 } }, minServing: 1 },
  },
};

/** Pool that each VM of the quickstart is given to. */
const POOL_OF = {
  'target-0': 'bookings',
  'target-1': 'bookings',
  'target-2': 'bookings',
  'target-3': 'fares',
  'target-4': 'fares',
  'worker-0': 'batch',
} as const;

const QUOTES = 40;
const LONG_QUOTE_MS = 1200;
const TASK_MS = 1500;
const WAIT_LIMIT_MS = 10_000;
const POLL_MS = 50;

/** Answer of an entry to a caller. */
interface Answer {
  body: { digest?: string; target?: string };
  outcome: string | null;
  requestId: string;
  status: number;
}

/** Runs the main job on an embedded site and tells what happens, line by line. */
export async function runQuickstart(say: (line: string) => void): Promise<void> {
  say('Starting a platform, 5 targets, a worker and 2 entry VMs in one process, on loopback.');
  const log = createLogger({ name: 'quickstart', streams: [] });
  const site = await EmbeddedSite.start({ entries: 2, executors: 5, log, teams: [TEAM], workers: 1 });
  try {
    await new Quickstart(site, say).run();
  } finally {
    await site.stop();
  }
}

class Quickstart {
  readonly #config: string;

  constructor(
    private readonly site: EmbeddedSite,
    private readonly say: (line: string) => void,
  ) {
    this.#config = this.#writeFile('sequoiaquay.json', {
      controls: site.vms.map((vm) => vm.control),
      team: TEAM,
      tokenFile: site.tokenFile(TEAM),
    });
  }

  async run(): Promise<void> {
    await this.#definePools();
    await this.#sendShortWork();
    await this.#chargeTwice();
    await this.#runTask();
    await this.#drain();
    await this.#breakBudget();
    await this.#changeSettings();
    await this.#explainRequest();
    this.#title('What all processes saw, merged');
    await this.#sequoiaquay(['timeline', '--limit', '25']);
    this.#title('Done');
  }

  async #definePools(): Promise<void> {
    this.#title('Two pools of targets and one of workers, with their jobs and availability budgets');
    await this.#sequoiaquay(['settings', 'apply', this.#writeFile('voyages.json', BRANCH)]);
    for (const [vm, pool] of Object.entries(POOL_OF)) {
      await this.#sequoiaquay(['move', vm, pool]);
    }
    await this.#until('all VMs serve in their pools', async () => {
      const { out } = await this.#quiet(['pools', '--json']);
      const pools = JSON.parse(out) as { serving: number }[];
      return pools.reduce((sum, pool) => sum + pool.serving, 0) === Object.keys(POOL_OF).length;
    });
    await this.#sequoiaquay(['pools']);
    await this.#inForce();
  }

  async #sendShortWork(): Promise<void> {
    this.#title(`${QUOTES} quotes and searches through both entries`);
    const answers = await Promise.all(
      Array.from({ length: QUOTES }, (_, index) =>
        index % 2 === 0
          ? this.#post(index, 'bookings/jobs/quote', `quote-${index}`)
          : this.#post(index, 'fares/jobs/search', `search-${index}`),
      ),
    );
    const answered = answers.filter((answer) => answer.outcome === 'answered').length;
    this.#check(answered === QUOTES, `${answered} of ${QUOTES} were answered`);
    const targets = new Set(answers.map((answer) => answer.body.target));
    this.say(`${answered} of ${QUOTES} answered, by ${targets.size} targets.`);
  }

  async #chargeTwice(): Promise<void> {
    this.#title('A charge, sent twice with one idempotency key, once through each entry');
    const headers = { 'idempotency-key': 'charge-1' };
    const [first, second] = await Promise.all([
      this.#post(0, 'bookings/jobs/charge', 'charge-1', { headers }),
      this.#post(1, 'bookings/jobs/charge', 'charge-1', { headers }),
    ]);
    const runs = this.site.executors.flatMap((executor) => executor.executions);
    const count = runs.filter((run) => run.nonce === 'charge-1').length;
    this.#check(count === 1, `the charge ran ${count} times`);
    this.#check(first.outcome === 'answered' && second.outcome === 'answered', 'a charge was not answered');
    this.#check(first.body.digest === second.body.digest, 'the answers differ');
    this.say(`Both callers got the same answer; the targets ran the charge ${count} time.`);
  }

  async #runTask(): Promise<void> {
    this.#title('A long task: accepted at once, run on the worker, its answer fetched later');
    const { location, status } = await this.#submitTask();
    this.#check(status === 202 && location !== null, `the task was not accepted: status ${status}`);
    const id = location?.split('/').at(-1) ?? '';
    this.say(`202 Accepted, Location ${location ?? ''}`);
    await this.#until('the task runs', async () => (await this.#quiet(['tasks'])).out.includes('running'));
    await this.#sequoiaquay(['tasks']);
    await this.#until('the task is done', async () =>
      (await this.#quiet(['explain', 'task', id])).out.includes('is done'),
    );
    await this.#sequoiaquay(['explain', 'task', id]);
  }

  async #submitTask(): Promise<{ location: string | null; status: number }> {
    const res = await fetch(`http://${this.site.vms[0]?.entry ?? ''}/v1/pools/batch/jobs/render`, {
      body: JSON.stringify({ nonce: 'render-1', runMs: TASK_MS }),
      headers: { 'content-type': 'application/json', prefer: 'respond-async' },
      method: 'POST',
    });
    await res.text();
    return { location: res.headers.get('location'), status: res.status };
  }

  async #drain(): Promise<void> {
    this.#title('A drain lets running work end');
    const long = Array.from({ length: 6 }, (_, index) =>
      this.#post(index, 'bookings/jobs/quote', `long-${index}`, { runMs: LONG_QUOTE_MS }),
    );
    await this.#until('work runs on target-0', () =>
      Promise.resolve((this.site.executors[0]?.running ?? 0) > 0),
    );
    await this.#sequoiaquay(['drain', 'target-0']);
    await this.#sequoiaquay(['explain', 'vm', 'target-0']);
    const answers = await Promise.all(long);
    this.#check(
      answers.every((answer) => answer.outcome === 'answered'),
      'a request was cut off by the drain',
    );
    this.say('All requests that were running have been answered.');
    await this.#until('target-0 is released', async () =>
      (await this.#quiet(['vms'])).out.includes('released'),
    );
    await this.#sequoiaquay(['vms']);
  }

  async #breakBudget(): Promise<void> {
    this.#title('A drain that would break the budget of 2 serving VMs is refused');
    await this.#sequoiaquay(['drain', 'target-1'], EXIT_CODE.refused);
  }

  async #changeSettings(): Promise<void> {
    this.#title('A change of settings, in force on every entry');
    await this.#sequoiaquay(['settings', 'set', 'pools.fares.jobs.search.timeoutMs', '2500']);
    await this.#inForce();
    this.say('A mistake names the field, the value and what is allowed:');
    await this.#sequoiaquay(['settings', 'set', 'pools.fares.minServing', 'two'], EXIT_CODE.usage);
  }

  async #explainRequest(): Promise<void> {
    this.#title('What became of one request');
    const { requestId } = await this.#post(1, 'fares/jobs/search', 'explained');
    await this.#sequoiaquay(['explain', 'request', requestId]);
  }

  async #inForce(): Promise<void> {
    const all = `in force on ${this.site.vms.length} of ${this.site.vms.length} entries`;
    await this.#until(`settings ${all}`, async () => (await this.#quiet(['status'])).out.includes(all));
    await this.#sequoiaquay(['status']);
  }

  async #post(
    vm: number,
    path: string,
    nonce: string,
    options: { headers?: Record<string, string>; runMs?: number } = {},
  ): Promise<Answer> {
    const entry = this.site.vms[vm % this.site.vms.length]?.entry ?? '';
    const res = await fetch(`http://${entry}/v1/pools/${path}`, {
      body: JSON.stringify({ nonce, runMs: options.runMs ?? 5 }),
      headers: { 'content-type': 'application/json', ...options.headers },
      method: 'POST',
    });
    return {
      body: (await res.json()) as Answer['body'],
      outcome: res.headers.get('sequoiaquay-outcome'),
      requestId: res.headers.get('sequoiaquay-request-id') ?? '',
      status: res.status,
    };
  }

  // Runs the command line in this process and prints it with its output.
  async #sequoiaquay(argv: readonly string[], expected: number = EXIT_CODE.ok): Promise<void> {
    const shown = argv.map((arg) =>
      arg.startsWith(this.site.directory) ? (arg.split('/').at(-1) ?? '') : arg,
    );
    this.say(`$ sequoiaquay ${shown.join(' ')}`);
    const { exit, out } = await this.#quiet(argv);
    this.say(out.trimEnd());
    this.#check(exit === expected, `the command ended with exit code ${exit}, expected was ${expected}`);
  }

  async #quiet(argv: readonly string[]): Promise<{ exit: number; out: string }> {
    let out = '';
    const write = (text: string): void => {
      out += text;
    };
    const exit = await runCli([...argv, '--config', this.#config], { err: write, out: write });
    return { exit, out };
  }

  async #until(what: string, check: () => Promise<boolean>): Promise<void> {
    const until = Date.now() + WAIT_LIMIT_MS;
    while (!(await check())) {
      this.#check(Date.now() < until, `not within ${WAIT_LIMIT_MS} ms: ${what}`);
      await delay(POLL_MS);
    }
  }

  #check(holds: boolean, failure: string): void {
    if (!holds) {
      throw new Error(failure);
    }
  }

  #title(text: string): void {
    this.say(`\n== ${text}`);
  }

  #writeFile(name: string, value: unknown): string {
    const file = join(this.site.directory, name);
    writeFileSync(file, JSON.stringify(value));
    return file;
  }
}
