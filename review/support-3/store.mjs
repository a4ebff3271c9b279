import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { URL } from 'node:url';

const APPEND_MS = 4;
const PAGE_KEYS = 500;
const PAGE_BYTES = 1_000_000;

/** Stand-in of the platform's store: topics of one partition, appends one at a time, linearizable. */
export class Store {
  #topics = new Map();
  /**
   * Called with the keys of each append; a time in ms that it returns is that after which the append is carried out,
   * without an answer.
   */
  loseAppend = () => undefined;

  async start() {
    this.server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
      void this.#handle(req, res);
    });
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a record as the operators and the executors do; without a value the key is dropped. */
  put(topic, key, value) {
    this.#append(this.#topic(topic), [
      { key, value: value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)) },
    ]);
  }

  /** Calls back for each record that is appended to a topic from now on. */
  onRecord(topic, callback) {
    this.#topic(topic).listeners.push(callback);
  }

  #topic(name) {
    let topic = this.#topics.get(name);
    if (topic === undefined) {
      topic = { listeners: [], newest: new Map(), records: [], turn: Promise.resolve(), waiting: new Set() };
      this.#topics.set(name, topic);
    }
    return topic;
  }

  #append(topic, records) {
    const offset = topic.records.length;
    for (const { key, value } of records) {
      if (value.length === 0) {
        topic.newest.delete(key);
      } else {
        topic.newest.set(key, { offset: topic.records.length, value });
      }
      topic.records.push({ key, value });
      topic.listeners.forEach((listener) => listener(key, value.toString()));
    }
    topic.waiting.forEach((wake) => wake());
    return offset;
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
    const url = new URL(req.url, 'http://store');
    const topic = this.#topic(url.searchParams.get('topic'));
    const answer = await this.#dispatch(url, topic, Buffer.concat(chunks));
    if (answer === undefined) {
      return;
    }
    const { body, status } = answer;
    const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
    if (!res.destroyed) {
      res.writeHead(status, { 'content-length': bytes.length }).end(bytes);
    }
  }

  async #dispatch(url, topic, body) {
    const query = url.searchParams;
    switch (url.pathname) {
      case '/log-append': {
        const at = query.has('at') ? Number(query.get('at')) : undefined;
        const records = decode(body);
        const lateMs = this.loseAppend(records.map(({ key }) => key));
        if (lateMs !== undefined) {
          setTimeout(() => {
            if (at === undefined || at === topic.records.length) {
              this.#append(topic, records);
            }
          }, lateMs).unref();
          return undefined;
        }
        topic.turn = topic.turn.then(() => delay(APPEND_MS));
        await topic.turn;
        const end = topic.records.length;
        if (at !== undefined && at !== end) {
          return { body: { end }, status: 412 };
        }
        const offset = this.#append(topic, records);
        return { body: { end: topic.records.length, offset }, status: 200 };
      }
      case '/log-read':
        return this.#read(topic, query);
      case '/log-newest':
        return newestPage(topic, query.get('after'));
      default:
        return { body: {}, status: 404 };
    }
  }

  async #read(topic, query) {
    const from = Number(query.get('from'));
    const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    if (from >= topic.records.length && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          topic.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        topic.waiting.add(wake);
      });
    }
    const maxBytes = Number(query.get('max_kb') ?? 1024) * 1024;
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = [header];
    let bytes = 0;
    for (let at = from; at < topic.records.length; at += 1) {
      const record = encode(topic.records[at]);
      bytes += record.length;
      if (bytes > maxBytes && parts.length > 1) {
        break;
      }
      parts.push(record);
    }
    return { body: Buffer.concat(parts), status: 200 };
  }
}

function newestPage(topic, after) {
  const keys = [...topic.newest.keys()].sort().filter((key) => after === null || key > after);
  const items = [];
  let bytes = 0;
  for (const key of keys) {
    const { offset, value } = topic.newest.get(key);
    bytes += key.length + value.length;
    if (items.length >= PAGE_KEYS || (bytes > PAGE_BYTES && items.length > 0)) {
      break;
    }
    items.push({ key, offset, value: value.toString('base64') });
  }
  const body = { end: topic.records.length, has_more: items.length < keys.length, items };
  return { body, status: 200 };
}

function decode(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const content = body.subarray(at + 4, at + 4 + length);
    const keyEnd = 1 + content[0];
    records.push({
      key: content.subarray(1, keyEnd).toString(),
      value: Buffer.from(content.subarray(keyEnd)),
    });
    at += 4 + length;
  }
  return records;
}

function encode({ key, value }) {
  const keyBytes = Buffer.from(key);
  const header = Buffer.alloc(5);
  header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  header.writeUInt8(keyBytes.length, 4);
  return Buffer.concat([header, keyBytes, value]);
}
