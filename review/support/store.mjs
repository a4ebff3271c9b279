/**
 * Stand-in of the platform's metadata store: topics with one partition, as a log over HTTP. Each client gets a
 * listener of its own, so that the store can turn one of them away and serve the others.
 */
import { Buffer } from 'node:buffer';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { URL } from 'node:url';

const APPEND_MS = 4;
const MAX_WAIT_MS = 30_000;
const PAGE_RECORDS = 500;
const PREFIX_BYTES = 4;

/** Access of one client to the store; the faults apply to this client only. */
class Listener {
  /** 'ok', 'busy' (status 503) or 'silent' (requests arrive, nothing happens). */
  mode = 'ok';
  mutedSockets = new WeakSet();
  /** Delay of reads, in ms. */
  readDelayMs = 0;
  sockets = new Set();

  /** From now on the connections that are open carry nothing any more; new ones work. */
  silenceOpenConnections() {
    for (const socket of this.sockets) {
      this.mutedSockets.add(socket);
    }
    return this.sockets.size;
  }
}

export class Store {
  servers = [];
  topics = new Map();

  async listen() {
    const listener = new Listener();
    const server = createServer({ keepAliveTimeout: 120_000 }, (req, res) => {
      void this.#handle(listener, req, res);
    });
    server.on('connection', (socket) => {
      listener.sockets.add(socket);
      socket.on('close', () => listener.sockets.delete(socket));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    this.servers.push(server);
    listener.address = `127.0.0.1:${server.address().port}`;
    return listener;
  }

  stop() {
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Appends records as a writer with a connection of its own. */
  put(topicName, key, value) {
    this.#append(this.topic(topicName), [{ key, value: Buffer.from(value ?? '') }]);
  }

  /** Returns the newest value of a key as text; undefined if there is none. */
  get(topicName, key) {
    return this.topic(topicName).newest.get(key)?.value.toString();
  }

  topic(name) {
    const known = this.topics.get(name);
    if (known !== undefined) {
      return known;
    }
    const topic = { last: Promise.resolve(), newest: new Map(), records: [], waiting: new Set() };
    this.topics.set(name, topic);
    return topic;
  }

  async #handle(listener, req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const isLost = () => listener.mutedSockets.has(req.socket) || listener.mode === 'silent';
    if (isLost()) {
      return;
    }
    if (listener.mode === 'busy') {
      res.writeHead(503).end('{}');
      return;
    }
    const { body, status } = await this.#dispatch(listener, req, Buffer.concat(chunks));
    if (isLost() || res.destroyed) {
      return;
    }
    const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
    res.writeHead(status, { 'content-length': bytes.length }).end(bytes);
  }

  async #dispatch(listener, req, body) {
    const url = new URL(req.url, 'http://store');
    const topicName = url.searchParams.get('topic') ?? '';
    const topic = this.topic(topicName);
    switch (`${req.method} ${url.pathname}`) {
      case 'GET /log-newest':
        return this.#newest(topic, url.searchParams.get('after') ?? '');
      case 'GET /log-read':
        return this.#read(listener, topic, url.searchParams);
      case 'POST /log-append':
        return ['keyed.op', 'keyed.servers'].includes(topicName)
          ? { body: {}, status: 403 }
          : this.#appendInTurn(topic, decode(body), url.searchParams.get('at'));
      default:
        return { body: {}, status: 404 };
    }
  }

  async #appendInTurn(topic, records, at) {
    topic.last = topic.last.then(() => delay(APPEND_MS));
    await topic.last;
    if (at !== null && Number(at) !== topic.records.length) {
      return { body: { end: topic.records.length }, status: 412 };
    }
    const offset = this.#append(topic, records);
    return { body: { end: topic.records.length, offset }, status: 200 };
  }

  #append(topic, records) {
    const offset = topic.records.length;
    for (const record of records) {
      const stored = { ...record, offset: topic.records.length };
      topic.records.push(stored);
      if (record.value.length === 0) {
        topic.newest.delete(record.key);
      } else {
        topic.newest.set(record.key, stored);
      }
    }
    for (const wake of [...topic.waiting]) {
      wake();
    }
    return offset;
  }

  async #read(listener, topic, query) {
    const from = Number(query.get('from') ?? 0);
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('wait_ms') ?? 0));
    if (from >= topic.records.length && waitMs > 0) {
      await waitForAppend(topic, waitMs);
    }
    const maxBytes = Number(query.get('max_kb') ?? 1024) * 1024;
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = [header];
    let bytes = 0;
    for (const record of topic.records.slice(from)) {
      const part = encode(record);
      bytes += part.length;
      if (bytes > maxBytes) {
        break;
      }
      parts.push(part);
    }
    if (listener.readDelayMs > 0) {
      await delay(listener.readDelayMs);
    }
    return { body: Buffer.concat(parts), status: 200 };
  }

  #newest(topic, after) {
    const keys = [...topic.newest.keys()].filter((key) => key > after).sort();
    const items = keys.slice(0, PAGE_RECORDS).map((key) => {
      const { offset, value } = topic.newest.get(key);
      return { key, offset, value: value.toString('base64') };
    });
    return {
      body: { end: topic.records.length, has_more: keys.length > items.length, items },
      status: 200,
    };
  }
}

function waitForAppend(topic, waitMs) {
  return new Promise((resolve) => {
    const wake = () => {
      topic.waiting.delete(wake);
      resolve();
    };
    topic.waiting.add(wake);
    setTimeout(wake, waitMs).unref();
  });
}

function encode({ key, value }) {
  const name = Buffer.from(key);
  const head = Buffer.alloc(PREFIX_BYTES + 1);
  head.writeUInt32BE(1 + name.length + value.length, 0);
  head.writeUInt8(name.length, PREFIX_BYTES);
  return Buffer.concat([head, name, value]);
}

function decode(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    const keyStart = at + PREFIX_BYTES + 1;
    const keyEnd = keyStart + body[at + PREFIX_BYTES];
    at += PREFIX_BYTES + length;
    records.push({ key: body.subarray(keyStart, keyEnd).toString(), value: body.subarray(keyEnd, at) });
  }
  return records;
}
