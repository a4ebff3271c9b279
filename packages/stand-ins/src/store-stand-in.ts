import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { LogRecord } from './record-log';
import { decodeLogRecords, RecordLog } from './record-log';

/** Faults that the store stand-in injects. */
export interface StoreFaults {
  /** Duration of one append, in ms. */
  appendMs: number;
  /** Refuses every call with status 503. */
  down: boolean;
  /** Carries out calls without an answer; their connections stay open. */
  loseAnswers: boolean;
  /** Delay added to every call, in ms. */
  slowMs: number;
}

/** Settings of the store stand-in. */
export interface StoreStandInSettings {
  /** Age above which records are dropped from the history of a topic, in ms; unlimited by default. */
  historyMs?: number;
}

/** Status and body of an answer; an object is sent as JSON. */
interface Answer {
  body: Buffer | object;
  status: number;
}

interface Topic {
  /** Resolves when the appends that were received before are done. */
  lastAppend: Promise<void>;
  readonly log: RecordLog;
  pendingAppends: number;
  readonly waitingReads: Set<() => void>;
}

/** Usual duration of one append, in ms. */
const APPEND_MS = 4;

const NO_FAULTS: StoreFaults = { appendMs: APPEND_MS, down: false, loseAnswers: false, slowMs: 0 };

/** Total duration of waiting appends above which an append is refused, in ms. */
const MAX_APPEND_DELAY_MS = 2000;

const BYTES_PER_KB = 1024;
const DEFAULT_READ_KB = 1024;
const MAX_WAIT_MS = 30_000;
const KEEP_ALIVE_MS = 120_000;

/** Size of the header of a read: the end and the first retained offset, 8 bytes each. */
const READ_HEADER_BYTES = 16;

/** Stand-in of the store: topics with one partition over HTTP, with faults that can change at any time. */
export class StoreStandIn {
  address = '';
  #faults = NO_FAULTS;
  readonly #server: Server;
  readonly #topics = new Map<string, Topic>();

  private constructor(private readonly settings: StoreStandInSettings) {
    this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (req, res) => {
      void this.#handle(req, res);
    });
  }

  /** Starts a store on a free port of the loopback address. */
  static async start(settings: StoreStandInSettings = {}): Promise<StoreStandIn> {
    const store = new StoreStandIn(settings);
    store.#server.listen(0, '127.0.0.1');
    await once(store.#server, 'listening');
    store.address = `127.0.0.1:${(store.#server.address() as AddressInfo).port}`;
    return store;
  }

  /** Closes all connections and stops listening. */
  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Replaces the injected faults; omitted ones are disabled. */
  setFaults(faults: Partial<StoreFaults>): void {
    this.#faults = { ...NO_FAULTS, ...faults };
  }

  /** Appends records directly, without a call and its duration. */
  append(topic: string, records: readonly { key: string; value: string | undefined }[]): void {
    this.#append(
      this.#getTopic(topic),
      records.map(({ key, value }) => ({ key, value: Buffer.from(value ?? '') })),
    );
  }

  /** Size of the bodies of all pages of newest records of a topic, in bytes. */
  newestBytes(topic: string): number {
    let bytes = 0;
    let after: string | undefined;
    for (let hasMore = true; hasMore;) {
      const { hasMore: isFollowed, items } = this.#newestPage(this.#getTopic(topic), after);
      bytes += JSON.stringify(items).length;
      after = items.at(-1)?.key;
      hasMore = isFollowed;
    }
    return bytes;
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of req as AsyncIterable<Buffer>) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    if (this.#faults.slowMs > 0) {
      await delay(this.#faults.slowMs);
    }
    const answer = this.#faults.down
      ? { body: {}, status: 503 }
      : await this.#dispatch(req, Buffer.concat(chunks));
    if (this.#faults.loseAnswers || res.destroyed) {
      return;
    }
    const body = Buffer.isBuffer(answer.body) ? answer.body : Buffer.from(JSON.stringify(answer.body));
    res.writeHead(answer.status, { 'content-length': body.length }).end(body);
  }

  async #dispatch(req: IncomingMessage, body: Buffer): Promise<Answer> {
    const url = new URL(req.url ?? '', 'http://store');
    const topic = this.#getTopic(url.searchParams.get('topic') ?? '');
    switch (`${req.method ?? ''} ${url.pathname}`) {
      case 'GET /log-newest': {
        const page = this.#newestPage(topic, url.searchParams.get('after') ?? undefined);
        return { body: { end: topic.log.end, has_more: page.hasMore, items: page.items }, status: 200 };
      }
      case 'GET /log-read':
        return this.#read(topic, url.searchParams);
      case 'POST /log-append':
        return this.#appendInTurn(topic, decodeLogRecords(body), url.searchParams.get('at'));
      default:
        return { body: {}, status: 404 };
    }
  }

  async #appendInTurn(topic: Topic, records: LogRecord[], at: string | null): Promise<Answer> {
    const { appendMs } = this.#faults;
    if (topic.pendingAppends * appendMs > MAX_APPEND_DELAY_MS) {
      return { body: {}, status: 503 };
    }
    topic.pendingAppends += 1;
    topic.lastAppend = topic.lastAppend.then(() => delay(appendMs));
    await topic.lastAppend;
    topic.pendingAppends -= 1;
    if (at !== null && Number(at) !== topic.log.end) {
      return { body: { end: topic.log.end }, status: 412 };
    }
    const offset = this.#append(topic, records);
    return { body: { end: topic.log.end, offset }, status: 200 };
  }

  #append(topic: Topic, records: LogRecord[]): number {
    const offset = topic.log.append(records, performance.now());
    for (const wake of topic.waitingReads) {
      wake();
    }
    return offset;
  }

  async #read(topic: Topic, query: URLSearchParams): Promise<Answer> {
    const from = Number(query.get('from') ?? 0);
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('wait_ms') ?? 0));
    if (from >= topic.log.end && waitMs > 0) {
      await waitForAppend(topic, waitMs);
    }
    const first = topic.log.firstAt(performance.now());
    if (from < first) {
      return { body: { first }, status: 410 };
    }
    const header = Buffer.alloc(READ_HEADER_BYTES);
    header.writeBigUInt64BE(BigInt(topic.log.end), 0);
    header.writeBigUInt64BE(BigInt(first), READ_HEADER_BYTES / 2);
    const maxBytes = Number(query.get('max_kb') ?? DEFAULT_READ_KB) * BYTES_PER_KB;
    return { body: Buffer.concat([header, topic.log.read(from, maxBytes)]), status: 200 };
  }

  #newestPage(
    topic: Topic,
    after: string | undefined,
  ): { hasMore: boolean; items: { key: string; offset: number; value: string }[] } {
    const { hasMore, records } = topic.log.readNewestPage(after);
    const items = records.map(({ key, offset, value }) => ({ key, offset, value: value.toString('base64') }));
    return { hasMore, items };
  }

  #getTopic(name: string): Topic {
    const known = this.#topics.get(name);
    if (known !== undefined) {
      return known;
    }
    const log = new RecordLog(this.settings.historyMs ?? Number.POSITIVE_INFINITY);
    const topic: Topic = {
      lastAppend: Promise.resolve(),
      log,
      pendingAppends: 0,
      waitingReads: new Set(),
    };
    this.#topics.set(name, topic);
    return topic;
  }
}

function waitForAppend(topic: Topic, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const wake = (): void => {
      clearTimeout(timer);
      topic.waitingReads.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    topic.waitingReads.add(wake);
  });
}
