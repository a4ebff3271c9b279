import { EXIT_CODE, runCli } from '@sequoiaquay/cli';
import { createLogger } from 'bunyan';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { EmbeddedSite } from './embedded-site';

const TEAM = 'voyages';

const TEAM_SETTINGS = {
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

/** Pool to which each VM of the quickstart is assigned. */
const POOL_BY_VM = {
  'target-0': 'bookings',
  'target-1': 'bookings',
  'target-2': 'bookings',
  'target-3': 'fares',
  'target-4': 'fares',
  'worker-0': 'batch',
} as const;

const SHORT_REQUEST_COUNT = 40;
const LONG_QUOTE_RUN_MS = 1200;
const TASK_RUN_MS = 1500;
const WAIT_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 50;

/** Parts of an entry's response that the quickstart checks or prints. */
interface EntryResponse {
  body: { digest?: string; target?: string };
  outcome: string | null;
  requestId: string;
  status: number;
}

/**
 * Demonstrates the main functions on an embedded site and prints each step line by line. Fails when a step does
 * not give the expected result.
 */
export async function runQuickstart(printLine: (line: string) => void): Promise<void> {
  printLine('Starting a platform, 5 targets, a worker and 2 entry VMs in one process, on loopback.');
  const log = createLogger({ name: 'quickstart', streams: [] });
  const site = await EmbeddedSite.start({ entries: 2, executors: 5, log, teams: [TEAM], workers: 1 });
  try {
    await new Quickstart(site, printLine).run();
  } finally {
    await site.stop();
  }
}

class Quickstart {
  readonly #configFile: string;

  constructor(
    private readonly site: EmbeddedSite,
    private readonly printLine: (line: string) => void,
  ) {
    this.#configFile = this.#writeFile('sequoiaquay.json', {
      controls: site.vms.map((vm) => vm.controlAddress),
      team: TEAM,
      tokenFile: site.tokenFile(TEAM),
    });
  }

  async run(): Promise<void> {
    await this.#configurePools();
    await this.#sendShortWork();
    await this.#sendChargeTwice();
    await this.#runTask();
    await this.#drainTarget();
    await this.#tryDrainBelowBudget();
    await this.#changeSettings();
    await this.#explainRequest();
    this.#printTitle('What all processes saw, merged');
    await this.#runAndPrint(['timeline', '--limit', '25']);
    this.#printTitle('Done');
  }

  async #configurePools(): Promise<void> {
    this.#printTitle('Two pools of targets and one of workers, with their jobs and availability budgets');
    await this.#runAndPrint(['settings', 'apply', this.#writeFile('voyages.json', TEAM_SETTINGS)]);
    for (const [vm, pool] of Object.entries(POOL_BY_VM)) {
      await this.#runAndPrint(['move', vm, pool]);
    }
    await this.#waitUntil('all VMs serve in their pools', async () => {
      const { out } = await this.#captureCli(['pools', '--json']);
      const pools = JSON.parse(out) as { serving: number }[];
      return pools.reduce((sum, pool) => sum + pool.serving, 0) === Object.keys(POOL_BY_VM).length;
    });
    await this.#runAndPrint(['pools']);
    await this.#waitUntilInForce();
  }

  async #sendShortWork(): Promise<void> {
    this.#printTitle(`${SHORT_REQUEST_COUNT} quotes and searches through both entries`);
    const answers = await Promise.all(
      Array.from({ length: SHORT_REQUEST_COUNT }, (_, index) =>
        index % 2 === 0
          ? this.#postRequest(index, 'bookings/jobs/quote', `quote-${index}`)
          : this.#postRequest(index, 'fares/jobs/search', `search-${index}`),
      ),
    );
    const answered = answers.filter((answer) => answer.outcome === 'answered').length;
    this.#assert(answered === SHORT_REQUEST_COUNT, `${answered} of ${SHORT_REQUEST_COUNT} were answered`);
    const targets = new Set(answers.map((answer) => answer.body.target));
    this.printLine(`${answered} of ${SHORT_REQUEST_COUNT} answered, by ${targets.size} targets.`);
  }

  async #sendChargeTwice(): Promise<void> {
    this.#printTitle('A charge, sent twice with one idempotency key, once through each entry');
    const headers = { 'idempotency-key': 'charge-1' };
    const [first, second] = await Promise.all([
      this.#postRequest(0, 'bookings/jobs/charge', 'charge-1', { headers }),
      this.#postRequest(1, 'bookings/jobs/charge', 'charge-1', { headers }),
    ]);
    const runs = this.site.executors.flatMap((executor) => executor.executions);
    const count = runs.filter((run) => run.nonce === 'charge-1').length;
    this.#assert(count === 1, `the charge ran ${count} times`);
    this.#assert(first.outcome === 'answered' && second.outcome === 'answered', 'a charge was not answered');
    this.#assert(first.body.digest === second.body.digest, 'the answers differ');
    this.printLine(`Both callers got the same answer; the targets ran the charge ${count} time.`);
  }

  async #runTask(): Promise<void> {
    this.#printTitle('A long task: accepted at once, run on the worker, its answer fetched later');
    const { location, status } = await this.#submitTask();
    this.#assert(status === 202 && location !== null, `the task was not accepted: status ${status}`);
    const id = location?.split('/').at(-1) ?? '';
    this.printLine(`202 Accepted, Location ${location ?? ''}`);
    await this.#waitUntil('the task runs', async () =>
      (await this.#captureCli(['tasks'])).out.includes('running'),
    );
    await this.#runAndPrint(['tasks']);
    await this.#waitUntil('the task is done', async () =>
      (await this.#captureCli(['explain', 'task', id])).out.includes('is done'),
    );
    await this.#runAndPrint(['explain', 'task', id]);
  }

  async #submitTask(): Promise<{ location: string | null; status: number }> {
    const res = await fetch(`http://${this.site.vms[0]?.entryAddress ?? ''}/v1/pools/batch/jobs/render`, {
      body: JSON.stringify({ nonce: 'render-1', runMs: TASK_RUN_MS }),
      headers: { 'content-type': 'application/json', prefer: 'respond-async' },
      method: 'POST',
    });
    await res.text();
    return { location: res.headers.get('location'), status: res.status };
  }

  async #drainTarget(): Promise<void> {
    this.#printTitle('A drain lets running work end');
    const longRequests = Array.from({ length: 6 }, (_, index) =>
      this.#postRequest(index, 'bookings/jobs/quote', `long-${index}`, { runMs: LONG_QUOTE_RUN_MS }),
    );
    await this.#waitUntil('work runs on target-0', () =>
      Promise.resolve((this.site.executors[0]?.runningCount ?? 0) > 0),
    );
    await this.#runAndPrint(['drain', 'target-0']);
    await this.#runAndPrint(['explain', 'vm', 'target-0']);
    const answers = await Promise.all(longRequests);
    this.#assert(
      answers.every((answer) => answer.outcome === 'answered'),
      'a request was cut off by the drain',
    );
    this.printLine('All requests that were running have been answered.');
    await this.#waitUntil('target-0 is released', async () =>
      (await this.#captureCli(['vms'])).out.includes('released'),
    );
    await this.#runAndPrint(['vms']);
  }

  async #tryDrainBelowBudget(): Promise<void> {
    this.#printTitle('A drain that would break the budget of 2 serving VMs is refused');
    await this.#runAndPrint(['drain', 'target-1'], EXIT_CODE.refused);
  }

  async #changeSettings(): Promise<void> {
    this.#printTitle('A change of settings, in force on every entry');
    await this.#runAndPrint(['settings', 'set', 'pools.fares.jobs.search.timeoutMs', '2500']);
    await this.#waitUntilInForce();
    this.printLine('A mistake names the field, the value and what is allowed:');
    await this.#runAndPrint(['settings', 'set', 'pools.fares.minServing', 'two'], EXIT_CODE.usage);
  }

  async #explainRequest(): Promise<void> {
    this.#printTitle('What became of one request');
    const { requestId } = await this.#postRequest(1, 'fares/jobs/search', 'explained');
    await this.#runAndPrint(['explain', 'request', requestId]);
  }

  async #waitUntilInForce(): Promise<void> {
    const expectedStatus = `in force on ${this.site.vms.length} of ${this.site.vms.length} entries`;
    await this.#waitUntil(`settings ${expectedStatus}`, async () =>
      (await this.#captureCli(['status'])).out.includes(expectedStatus),
    );
    await this.#runAndPrint(['status']);
  }

  async #postRequest(
    vmIndex: number,
    path: string,
    nonce: string,
    options: { headers?: Record<string, string>; runMs?: number } = {},
  ): Promise<EntryResponse> {
    const entryAddress = this.site.vms[vmIndex % this.site.vms.length]?.entryAddress ?? '';
    const res = await fetch(`http://${entryAddress}/v1/pools/${path}`, {
      body: JSON.stringify({ nonce, runMs: options.runMs ?? 5 }),
      headers: { 'content-type': 'application/json', ...options.headers },
      method: 'POST',
    });
    return {
      body: (await res.json()) as EntryResponse['body'],
      outcome: res.headers.get('sequoiaquay-outcome'),
      requestId: res.headers.get('sequoiaquay-request-id') ?? '',
      status: res.status,
    };
  }

  // Runs the CLI in this process and prints the command and its output. Paths in the site's temporary directory
  // are shortened to the file name.
  async #runAndPrint(argv: readonly string[], expectedExit: number = EXIT_CODE.ok): Promise<void> {
    const shownArgs = argv.map((arg) =>
      arg.startsWith(this.site.directory) ? (arg.split('/').at(-1) ?? '') : arg,
    );
    this.printLine(`$ sequoiaquay ${shownArgs.join(' ')}`);
    const { exit, out } = await this.#captureCli(argv);
    this.printLine(out.trimEnd());
    this.#assert(
      exit === expectedExit,
      `the command ended with exit code ${exit}, expected was ${expectedExit}`,
    );
  }

  async #captureCli(argv: readonly string[]): Promise<{ exit: number; out: string }> {
    let out = '';
    const write = (text: string): void => {
      out += text;
    };
    const exit = await runCli([...argv, '--config', this.#configFile], { err: write, out: write });
    return { exit, out };
  }

  async #waitUntil(description: string, isMet: () => Promise<boolean>): Promise<void> {
    const deadlineAt = Date.now() + WAIT_TIMEOUT_MS;
    while (!(await isMet())) {
      this.#assert(Date.now() < deadlineAt, `not within ${WAIT_TIMEOUT_MS} ms: ${description}`);
      await delay(POLL_INTERVAL_MS);
    }
  }

  #assert(condition: boolean, message: string): void {
    if (!condition) {
      throw new Error(message);
    }
  }

  #printTitle(text: string): void {
    this.printLine(`\n== ${text}`);
  }

  #writeFile(name: string, value: unknown): string {
    const file = join(this.site.directory, name);
    writeFileSync(file, JSON.stringify(value));
    return file;
  }
}
