// Stand-in of the platform's store: topics with one partition, over HTTP, as the users' pages describe them.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { URL } from 'node:url';

const APPEND_MS = 4;
const RECORD_BYTES = 262_144;
const CALL_BYTES = 2_097_152;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_048_576;
const MAX_QUEUED_MS = 2000;

const topics = new Map();

function topicOf(name) {
  if (!topics.has(name)) {
    topics.set(name, {
      lastAppend: Promise.resolve(),
      newest: new Map(),
      queued: 0,
      records: [],
      waiting: new Set(),
    });
  }
  return topics.get(name);
}

function decode(body) {
  const records = [];
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    records.push(body.subarray(at + 4, at + 4 + length));
    at += 4 + length;
  }
  return records;
}

function apply(topic, record) {
  const keyLength = record[0];
  const key = record.subarray(1, 1 + keyLength).toString();
  const value = record.subarray(1 + keyLength);
  const offset = topic.records.length;
  topic.records.push(record);
  if (value.length === 0) {
    topic.newest.delete(key);
  } else {
    topic.newest.set(key, { key, offset, value });
  }
}

async function append(topic, query, body) {
  const records = decode(body);
  if (body.length > CALL_BYTES || records.some((record) => record.length > RECORD_BYTES)) {
    process.stdout.write(
      `append of ${body.length} bytes and ${records.length} records refused, status 413\n`,
    );
    return { body: {}, status: 413 };
  }
  if (topic.queued * APPEND_MS > MAX_QUEUED_MS) {
    return { body: {}, status: 503 };
  }
  topic.queued += 1;
  topic.lastAppend = topic.lastAppend.then(() => delay(APPEND_MS));
  await topic.lastAppend;
  topic.queued -= 1;
  const at = query.get('at');
  if (at !== null && Number(at) !== topic.records.length) {
    return { body: { end: topic.records.length }, status: 412 };
  }
  const offset = topic.records.length;
  for (const record of records) {
    apply(topic, record);
  }
  for (const wake of topic.waiting) {
    wake();
  }
  return { body: { end: topic.records.length, offset }, status: 200 };
}

function waitForRecord(topic, waitMs) {
  return new Promise((resolve) => {
    const wake = () => {
      clearTimeout(timer);
      topic.waiting.delete(wake);
      resolve();
    };
    const timer = setTimeout(wake, waitMs);
    topic.waiting.add(wake);
  });
}

async function read(topic, query) {
  const from = Number(query.get('from'));
  const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
  if (from >= topic.records.length && waitMs > 0) {
    await waitForRecord(topic, waitMs);
  }
  const header = Buffer.alloc(16);
  header.writeBigUInt64BE(BigInt(topic.records.length), 0);
  const parts = [header];
  let left = Number(query.get('max_kb') ?? 1024) * 1024;
  for (let at = from; at < topic.records.length; at += 1) {
    const record = topic.records[at];
    left -= record.length + 4;
    if (left < 0 && at > from) {
      break;
    }
    const length = Buffer.alloc(4);
    length.writeUInt32BE(record.length);
    parts.push(length, record);
  }
  return { body: Buffer.concat(parts), status: 200 };
}

function newest(topic, query) {
  const after = query.get('after');
  const keys = [...topic.newest.keys()].filter((key) => after === null || key > after).sort();
  const items = [];
  let bytes = 0;
  for (const name of keys) {
    const { key, offset, value } = topic.newest.get(name);
    bytes += value.length;
    if (items.length > 0 && (items.length >= PAGE_ITEMS || bytes > PAGE_BYTES)) {
      break;
    }
    items.push({ key, offset, value: value.toString('base64') });
  }
  return {
    body: { end: topic.records.length, has_more: items.length < keys.length, items },
    status: 200,
  };
}

async function answer(req, body) {
  const { pathname, searchParams } = new URL(req.url, 'http://store');
  const topic = topicOf(searchParams.get('topic') ?? '');
  switch (`${req.method} ${pathname}`) {
    case 'GET /log-newest':
      return newest(topic, searchParams);
    case 'GET /log-read':
      return read(topic, searchParams);
    case 'POST /log-append':
      return append(topic, searchParams, body);
    default:
      return { body: {}, status: 404 };
  }
}

const server = createServer({ keepAliveTimeout: 120_000 }, async (req, res) => {
  const chunks = [];
  try {
    for await (const chunk of req) {
      chunks.push(chunk);
    }
  } catch {
    return;
  }
  const { body, status } = await answer(req, Buffer.concat(chunks));
  const text = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
  res.writeHead(status, { 'content-length': text.length }).end(text);
});
server.listen(Number(process.argv[2] ?? 0), '127.0.0.1', () => {
  process.stdout.write(`listening ${server.address().port}\n`);
});
