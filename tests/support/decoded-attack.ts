import type { AttackKind } from './attack-load';

const HOST = 'jobs.example';

/** Size of a body, in bytes: just inside the limit of the configuration. */
const BODY_BYTES = 240_000;

/** How often a connection sends its request, without waiting for the answers. */
const REPEATS = 4;

/** Number of connections of a crowd whose requests take memory, and of one whose requests take time. */
const MEMORY_CROWD = 40;
const TIME_CROWD = 200;

/** Number of steps whose record is just inside the store's limit, without other fields. */
const RECORD_STEPS = 700;

/** Size of a text in a step, in bytes, and number of such jobs of a connection. */
const LONG_TEXT_BYTES = 200_000;
const JOBS_PER_CONNECTION = 50;

const FIELDS = [
  'checkpoint_enabled',
  'count',
  'cpu',
  'data_rack',
  'estimated_ms',
  'fills',
  'gang',
  'gpus',
  'image',
  'long_running',
  'max_per_server',
  'may_miss',
  'mem_mb',
  'rack_sensitive',
  'required_label',
  'speculative',
  'target_ms',
];

/** Bodies inside the limits that become many values, problems or long texts once they are decoded. */
export const DECODED_ATTACK = {
  absentFields: createCrowd(TIME_CROWD, () => wrap('{"steps":[', '{}', ']}')),
  deepArrays: createCrowd(
    MEMORY_CROWD,
    () => `{"steps":${'['.repeat(BODY_BYTES / 2)}${']'.repeat(BODY_BYTES / 2)}}`,
  ),
  distinctNames: createCrowd(MEMORY_CROWD, (connection) => createDistinctNames(connection)),
  laterSteps: createCrowd(TIME_CROWD, () => wrap('{"steps":[', '{"count":1,"after":[9]}', ']}')),
  longNumbers: createCrowd(MEMORY_CROWD, () => wrap('{"steps":[{"count":1,"after":[', '1e-9', ']}]}')),
  negativeAfter: createCrowd(TIME_CROWD, () => wrap('{"steps":[{"count":1,"after":[', '-1', ']}]}')),
  unfinishedJson: createCrowd(MEMORY_CROWD, () => wrap('{"steps":[', '[{}]', '')),
  wrongAfter: createCrowd(MEMORY_CROWD, () => wrap('{"steps":[{"count":1,"after":[', '""', ']}]}')),
  wrongFields: createCrowd(MEMORY_CROWD, () => wrap('{"steps":[', createWrongStep(), ']}')),
  wrongSteps: createCrowd(MEMORY_CROWD, () => wrap('{"steps":[', '0', ']}')),
} as const satisfies Record<string, AttackKind>;

/** Returns a crowd that submits jobs of many steps in small bodies, all of them with ids of their own. */
export function createManyStepJobs(connections: number): AttackKind {
  const steps = Array.from({ length: RECORD_STEPS }, () => '{"count":1}').join(',');
  return {
    connections,
    isReading: true,
    parts: (connection) => [createPost(`{"steps":[${steps}]}`, connection.toString(16).padStart(16, '0'))],
  };
}

/** Crowd that submits job after job, each with a long text that is not the specification. */
export const LONG_TEXT_JOBS: AttackKind = {
  connections: 20,
  isPaced: true,
  isReading: true,
  parts: (connection) => {
    const text = 'x'.repeat(LONG_TEXT_BYTES);
    return Array.from({ length: JOBS_PER_CONNECTION }, (_, index) => {
      const id = `f${connection.toString(16).padStart(7, '0')}${index.toString(16).padStart(8, '0')}`;
      return createPost(`{"steps":[{"count":1,"cpu":1e9,"image":"${text}"}]}`, id);
    });
  },
};

function createCrowd(connections: number, createBody: (connection: number) => string): AttackKind {
  return {
    connections,
    isReading: true,
    parts: (connection) => {
      const request = createPost(createBody(connection), '00000000000000aa');
      return Array.from({ length: REPEATS }, () => request);
    },
  };
}

/** Returns a text that repeats an element of a list up to the size of a body. */
function wrap(start: string, element: string, end: string): string {
  const count = Math.floor((BODY_BYTES - start.length - end.length) / (element.length + 1));
  return `${start}${`${element},`.repeat(count - 1)}${element}${end}`;
}

function createWrongStep(): string {
  return JSON.stringify(Object.fromEntries(FIELDS.map((field) => [field, []])));
}

// Names that no other body has, so that the runtime has none of them.
function createDistinctNames(connection: number): string {
  const count = Math.floor(BODY_BYTES / 16);
  const names = Array.from({ length: count }, (_, index) => `"${connection * count + index}x":{}`);
  return `{${names
    .join(',')
    .slice(0, BODY_BYTES)
    .replace(/,[^,]*$/u, '')}}`;
}

function createPost(body: string, id: string): Buffer {
  const head = `POST /render/${id} HTTP/1.1\r\nhost: ${HOST}\r\ncontent-type: application/json\r\n`;
  return Buffer.from(`${head}content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
}
