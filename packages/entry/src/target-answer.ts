import type { ClaimResult } from '@sequoiaquay/core';
import type { Readable } from 'node:stream';
import { isUtf8 } from 'node:buffer';

/** Header values by lower-case name. */
export type HeaderMap = Record<string, string | string[]>;

/** An answer of a target whose body is held whole. */
export interface WholeAnswer {
  body: Buffer;
  headers: HeaderMap;
  status: number;
}

/** An answer of a target; `rest` follows `body` when the answer is larger than the buffer limit. */
export interface TargetAnswer extends WholeAnswer {
  rest?: AnswerRest;
}

/** Part of an answer that is still being read. */
export interface AnswerRest {
  /** Resolves when the target's answer has ended: true when it was whole. */
  ended: Promise<boolean>;
  /** Bytes after the buffered part; it is destroyed with an error when the answer is cut short. */
  stream: Readable;
  /** Length of the whole answer in bytes, when the target gave it. */
  totalBytes: number | undefined;
}

/** Largest body and headers that an outcome record carries, in bytes. */
export const MAX_OUTCOME_BYTES = 4096;

// RFC 9110, section 7.6.1, and the fields that the entry sets itself.
const NOT_PASSED_ON = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Response headers that go on to the caller: no hop-by-hop fields and none of the entry's own. */
export function endToEndHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): HeaderMap {
  const listed = connectionOptions(headers.connection);
  const kept: HeaderMap = {};
  for (const [name, value] of Object.entries(headers)) {
    const dropped = NOT_PASSED_ON.has(name) || listed.has(name) || name.startsWith('sequoiaquay-');
    if (value !== undefined && !dropped) {
      kept[name] = value;
    }
  }
  return kept;
}

/** Result of a claim for its outcome record; a large answer is left with the holder. */
export function toClaimResult(answer: WholeAnswer): ClaimResult {
  const headerBytes = JSON.stringify(answer.headers).length;
  const common = { bodyBytes: answer.body.length, outcome: 'answered', status: answer.status } as const;
  if (answer.body.length + headerBytes > MAX_OUTCOME_BYTES) {
    return common;
  }
  const bodyEncoding = isUtf8(answer.body) ? 'utf8' : 'base64';
  return { ...common, body: answer.body.toString(bodyEncoding), bodyEncoding, headers: answer.headers };
}

/** Answer recorded in a claim's result; undefined when the record doesn't carry the whole answer. */
export function toWholeAnswer(result: ClaimResult): undefined | WholeAnswer {
  if (result.outcome !== 'answered' || result.status === undefined || result.headers === undefined) {
    return undefined;
  }
  const body = Buffer.from(result.body ?? '', result.bodyEncoding ?? 'utf8');
  return body.length === result.bodyBytes
    ? { body, headers: result.headers, status: result.status }
    : undefined;
}

function connectionOptions(value: string | string[] | undefined): Set<string> {
  const text = Array.isArray(value) ? value.join(',') : (value ?? '');
  return new Set(text.split(',').map((option) => option.trim().toLowerCase()));
}
