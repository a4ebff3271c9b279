import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { Agent, request } from 'undici';
import * as z from 'zod';
import type { CliError } from './cli-error';
import type { CliAccess } from './cli-settings';

/** Change request to a control. */
export interface ControlChange {
  body?: unknown;
  headers?: Record<string, string>;
  /**
   * Whether the request may be sent again after its response was lost: true if the control records the change
   * under the record id chosen by the client, because a second record with the same id is rejected when the
   * log is applied, and true if the request changes nothing.
   */
  isRetryable: boolean;
  method: 'DELETE' | 'POST' | 'PUT';
  path: string;
}

interface ControlResponse {
  body: unknown;
  status: number;
}

/** Failure of a request without a response. */
interface RequestFailure {
  /** Whether the control may have received the request. */
  isPossiblyReceived: boolean;
  message: string;
}

interface ControlRequest {
  body?: unknown;
  headers?: Record<string, string>;
  method: 'DELETE' | 'GET' | 'POST' | 'PUT';
  path: string;
}

const RECORD_ID_HEADER = 'sequoiaquay-record-id';

/** Error codes of connections that could not be established. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'EADDRNOTAVAIL',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Lowest HTTP status that indicates a failure of the control rather than a refusal. */
const MIN_SERVER_ERROR_STATUS = 500;
const NOT_FOUND_STATUS = 404;
/** Status with which a control reports that the log returned no result for the record in time. */
const NO_RESULT_STATUS = 504;

/** Maximum number of rounds in which all controls are queried for a record whose response was lost. */
const MAX_LOOKUP_ROUNDS = 5;
/** Delay after each round, in ms. */
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

/** HTTP client of the operator API, with failover across the configured controls. */
export class ControlClient {
  readonly #agent = new Agent({ connect: { timeout: 2000 } });

  constructor(private readonly access: CliAccess) {}

  /** Reads a path from the first control that responds; a response with status 500 or above counts as a failure. */
  async read(path: string): Promise<Result<unknown, CliError>> {
    const failures: string[] = [];
    for (const control of this.access.settings.controls) {
      const res = await this.#request(control, { method: 'GET', path });
      if (res.isOk() && res.value.status < MIN_SERVER_ERROR_STATUS) {
        return fromResponse(res.value);
      }
      failures.push(describeFailure(control, res));
    }
    return err({ kind: 'unreachable', lines: ['no control answered', ...failures] });
  }

  /**
   * Applies a change at most once, also if controls fail while it is in progress. If the outcome stays unknown,
   * the error names the record id.
   */
  async change(change: ControlChange): Promise<Result<unknown, CliError>> {
    const recordId = randomUUID();
    const headers = { ...change.headers, [RECORD_ID_HEADER]: recordId };
    const failures: string[] = [];
    for (const control of this.access.settings.controls) {
      const res = await this.#request(control, { ...change, headers });
      if (res.isOk() && res.value.status < MIN_SERVER_ERROR_STATUS) {
        return fromResponse(res.value);
      }
      failures.push(describeFailure(control, res));
      if (res.isErr() && !res.error.isPossiblyReceived) {
        continue;
      }
      const found = await this.#lookUpRecord(recordId);
      if (found !== undefined) {
        return found;
      }
      // A missing result means that the log is slow; another control would wait for it again.
      const logIsSlow = res.isOk() && res.value.status === NO_RESULT_STATUS;
      if (logIsSlow || !change.isRetryable) {
        break;
      }
    }
    const isOutcomeUnknown = failures.length > 0 && !failures.every((line) => line.endsWith(NOT_SENT_NOTE));
    const effect = isOutcomeUnknown ? `record ${recordId} may still take effect` : 'nothing was changed';
    return err({ answer: { record: recordId }, kind: 'unreachable', lines: [effect, ...failures] });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #lookUpRecord(recordId: string): Promise<Result<unknown, CliError> | undefined> {
    for (let round = 0; round < MAX_LOOKUP_ROUNDS; round += 1) {
      for (const control of this.access.settings.controls) {
        const res = await this.#request(control, { method: 'GET', path: `/records/${recordId}` });
        const parsed = recordResultSchema.safeParse(res.isOk() ? res.value.body : undefined);
        if (parsed.success) {
          return fromRecordResult(parsed.data);
        }
      }
      await delay(LOOKUP_RETRY_DELAY_MS);
    }
    return undefined;
  }

  async #request(control: string, req: ControlRequest): Promise<Result<ControlResponse, RequestFailure>> {
    try {
      const res = await request(`http://${control}/v1${req.path}`, {
        body: req.body === undefined ? undefined : JSON.stringify(req.body),
        dispatcher: this.#agent,
        headers: {
          authorization: `Bearer ${this.access.token}`,
          'content-type': 'application/json',
          ...req.headers,
        },
        method: req.method,
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

function describeFailure(control: string, res: Result<ControlResponse, RequestFailure>): string {
  if (res.isOk()) {
    const problem = problemSchema.safeParse(res.value.body);
    return `${control}: ${problem.success ? problem.data.detail : `status ${res.value.status}`}`;
  }
  return `${control}: ${res.error.message}${res.error.isPossiblyReceived ? '' : ` ${NOT_SENT_NOTE}`}`;
}

function fromResponse({ body, status }: ControlResponse): Result<unknown, CliError> {
  if (status < 300) {
    return ok(body);
  }
  const problem = problemSchema.safeParse(body);
  if (!problem.success) {
    const hint = status === NOT_FOUND_STATUS ? ': this control does not support the request' : '';
    return err({ answer: body, kind: 'refused', lines: [`status ${status}${hint}`] });
  }
  const { detail, problems, reason } = problem.data;
  return err({ answer: body, kind: 'refused', lines: [`refused, ${reason}: ${detail}`, ...problems] });
}

function fromRecordResult(result: z.infer<typeof recordResultSchema>): Result<unknown, CliError> {
  return result.accepted
    ? ok({ accepted: true, record: result.id, version: result.offset + 1 })
    : err({ answer: result, kind: 'refused', lines: [`refused, ${result.reason}: ${result.detail}`] });
}

function toRequestFailure(error: unknown): RequestFailure {
  const code = error instanceof Error && 'code' in error ? String(error.code) : '';
  const message = error instanceof Error && error.message !== '' ? error.message : code;
  return { message, isPossiblyReceived: !CONNECT_ERROR_CODES.has(code) };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
