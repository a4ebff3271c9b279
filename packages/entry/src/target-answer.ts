import type { ClaimResult } from '@sequoiaquay/core';
import type { Readable } from 'node:stream';
import { isUtf8 } from 'node:buffer';

/** Header values by lower-case name. */
export type HeaderMap = Record<string, string | string[]>;

/** An answer of a target with its complete body. */
export interface WholeAnswer {
  body: Buffer;
  headers: HeaderMap;
  status: number;
}

/** An answer of a target; if it exceeds the buffer limit, `rest` contains the part after `body`. */
export interface TargetAnswer extends WholeAnswer {
  rest?: AnswerRest;
}

/** Part of an answer that is still being read. */
export interface AnswerRest {
  /** Resolves when the target's answer has ended; true if it was complete. */
  ended: Promise<boolean>;
  /** Bytes after the buffered part; destroyed with an error if the answer is truncated. */
  stream: Readable;
  /** Length of the complete answer in bytes, if the target sent it. */
  totalBytes: number | undefined;
}

/** Maximum total size of the body and headers in an outcome record, in bytes. */
export const MAX_OUTCOME_BYTES = 4096;

// The hop-by-hop fields of RFC 9110, section 7.6.1, and the fields that the entry sets itself.
const DROPPED_HEADERS = new Set([
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

/** Returns the headers to forward to the caller, without hop-by-hop fields and those that the entry sets. */
export function endToEndHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): HeaderMap {
  const connectionFields = connectionOptions(headers.connection);
  const forwarded: HeaderMap = {};
  for (const [name, value] of Object.entries(headers)) {
    const isDropped =
      DROPPED_HEADERS.has(name) || connectionFields.has(name) || name.startsWith('sequoiaquay-');
    if (value !== undefined && !isDropped) {
      forwarded[name] = value;
    }
  }
  return forwarded;
}

/** Returns the claim result for an outcome record; omits the body and headers of a large answer. */
export function toClaimResult(answer: WholeAnswer): ClaimResult {
  const headerBytes = JSON.stringify(answer.headers).length;
  const common = { bodyBytes: answer.body.length, outcome: 'answered', status: answer.status } as const;
  if (answer.body.length + headerBytes > MAX_OUTCOME_BYTES) {
    return common;
  }
  const bodyEncoding = isUtf8(answer.body) ? 'utf8' : 'base64';
  return { ...common, body: answer.body.toString(bodyEncoding), bodyEncoding, headers: answer.headers };
}

/** Returns the answer in a claim result, or undefined if the record doesn't contain the complete answer. */
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
