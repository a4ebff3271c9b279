import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { Agent, request } from 'undici';
import * as z from 'zod';
import type { CliError } from './cli-error';
import type { CliAccess } from './cli-settings';

/** A change that a control is asked for. */
export interface ControlChange {
  body?: unknown;
  headers?: Record<string, string>;
  method: 'DELETE' | 'POST' | 'PUT';
  path: string;
  /**
   * Whether the control records the change under the id that the client gives. Only then is a change
   * whose answer was lost sent again: the fold rejects a second record with the same id.
   */
  isRecorded: boolean;
}

interface ControlResponse {
  body: unknown;
  status: number;
}

/** A call without an answer. */
interface RequestFailure {
  message: string;
  /** Whether the control may have received the request. */
  mayBeReceived: boolean;
}

interface ControlRequest {
  body?: unknown;
  headers?: Record<string, string>;
  method: 'DELETE' | 'GET' | 'POST' | 'PUT';
  path: string;
}

const RECORD_ID_HEADER = 'sequoiaquay-record-id';

/** Errors of a connection that was never established. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'EADDRNOTAVAIL',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Statuses from here on say that the control failed, not that it refused. */
const MIN_SERVER_ERROR_STATUS = 500;
const NOT_FOUND_STATUS = 404;
const NO_RESULT_STATUS = 504;

/** Look-ups of a record whose answer was lost, and the pause between them in ms. */
const MAX_LOOKUP_ROUNDS = 5;
const LOOKUP_RETRY_DELAY_MS = 400;

const recordResultSchema = z.object({
  accepted: z.boolean(),
  detail: z.string(),
  id: z.string(),
  offset: z.int(),
  reason: z.string(),
});
const problemSchema = z.object({
  detail: z.string(),
  problems: z.array(z.string()).default([]),
  reason: z.string(),
});

/** HTTP client of the operators' interface that tries one control after another. */
export class ControlClient {
  readonly #agent = new Agent({ connect: { timeout: 2000 } });

  constructor(private readonly access: CliAccess) {}

  /** Reads from the first control that answers. */
  async read(path: string): Promise<Result<unknown, CliError>> {
    const failures: string[] = [];
    for (const control of this.access.settings.controls) {
      const answer = await this.#request(control, { method: 'GET', path });
      if (answer.isOk() && answer.value.status < MIN_SERVER_ERROR_STATUS) {
        return fromResponse(answer.value);
      }
      failures.push(describeFailure(control, answer));
    }
    return err({ kind: 'unreachable', lines: ['no control answered', ...failures] });
  }

  /** Makes a change once, whichever controls fail on the way. */
  async change(change: ControlChange): Promise<Result<unknown, CliError>> {
    const recordId = randomUUID();
    const headers = { ...change.headers, [RECORD_ID_HEADER]: recordId };
    const failures: string[] = [];
    for (const control of this.access.settings.controls) {
      const answer = await this.#request(control, { ...change, headers });
      if (answer.isOk() && answer.value.status < MIN_SERVER_ERROR_STATUS) {
        return fromResponse(answer.value);
      }
      failures.push(describeFailure(control, answer));
      if (answer.isErr() && !answer.error.mayBeReceived) {
        continue;
      }
      const found = await this.#lookUpRecord(recordId);
      if (found !== undefined) {
        return found;
      }
      // Without a verdict in time the log is at fault, and another control would wait for it again.
      const logIsSlow = answer.isOk() && answer.value.status === NO_RESULT_STATUS;
      if (logIsSlow || !change.isRecorded) {
        break;
      }
    }
    const unknown = failures.length > 0 && !failures.every((line) => line.endsWith(NOT_SENT_NOTE));
    const effect = unknown ? `record ${recordId} may still take effect` : 'nothing was changed';
    return err({ answer: { record: recordId }, kind: 'unreachable', lines: [effect, ...failures] });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #lookUpRecord(recordId: string): Promise<Result<unknown, CliError> | undefined> {
    for (let round = 0; round < MAX_LOOKUP_ROUNDS; round += 1) {
      for (const control of this.access.settings.controls) {
        const answer = await this.#request(control, { method: 'GET', path: `/records/${recordId}` });
        const verdict = recordResultSchema.safeParse(answer.isOk() ? answer.value.body : undefined);
        if (verdict.success) {
          return fromRecordResult(verdict.data);
        }
      }
      await delay(LOOKUP_RETRY_DELAY_MS);
    }
    return undefined;
  }

  async #request(control: string, call: ControlRequest): Promise<Result<ControlResponse, RequestFailure>> {
    try {
      const res = await request(`http://${control}/v1${call.path}`, {
        body: call.body === undefined ? undefined : JSON.stringify(call.body),
        dispatcher: this.#agent,
        headers: {
          authorization: `Bearer ${this.access.token}`,
          'content-type': 'application/json',
          ...call.headers,
        },
        method: call.method,
        signal: AbortSignal.timeout(this.access.settings.timeoutMs),
      });
      const text = await res.body.text();
      return ok({ body: parseJson(text), status: res.statusCode });
    } catch (error) {
      return err(toRequestFailure(error));
    }
  }
}

const NOT_SENT_NOTE = '(nothing was sent)';

function describeFailure(control: string, answer: Result<ControlResponse, RequestFailure>): string {
  if (answer.isOk()) {
    const problem = problemSchema.safeParse(answer.value.body);
    return `${control}: ${problem.success ? problem.data.detail : `status ${answer.value.status}`}`;
  }
  return `${control}: ${answer.error.message}${answer.error.mayBeReceived ? '' : ` ${NOT_SENT_NOTE}`}`;
}

function fromResponse({ body, status }: ControlResponse): Result<unknown, CliError> {
  if (status < 300) {
    return ok(body);
  }
  const problem = problemSchema.safeParse(body);
  if (!problem.success) {
    const hint = status === NOT_FOUND_STATUS ? ': this control does not have that route' : '';
    return err({ answer: body, kind: 'refused', lines: [`status ${status}${hint}`] });
  }
  const { detail, problems, reason } = problem.data;
  return err({ answer: body, kind: 'refused', lines: [`refused, ${reason}: ${detail}`, ...problems] });
}

function fromRecordResult(verdict: z.infer<typeof recordResultSchema>): Result<unknown, CliError> {
  return verdict.accepted
    ? ok({ accepted: true, record: verdict.id, version: verdict.offset + 1 })
    : err({ answer: verdict, kind: 'refused', lines: [`refused, ${verdict.reason}: ${verdict.detail}`] });
}

function toRequestFailure(error: unknown): RequestFailure {
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  const message = error instanceof Error && error.message !== '' ? error.message : code;
  return { message, mayBeReceived: !CONNECT_ERROR_CODES.has(code) };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
