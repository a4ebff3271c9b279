import type { ConfigFinding } from './config-finding';
import type { FleetConfig, WorkspaceConfig } from './fleet-config';
import { FINDING_SEVERITY } from './config-finding';

/** List of a configuration whose entries are compared by their names. */
interface ComparedList<T> {
  after: readonly T[];
  before: readonly T[];
  /** Word for an entry in messages. */
  noun: string;
  path: string;
}

interface IndexedEntry<T> {
  entry: T;
  index: number;
}

type Leaf = boolean | number | string | undefined;

/** Returns what differs between two versions of the configuration. Keys are counted and never part of a message. */
export function findConfigDifferences(after: FleetConfig, before: FleetConfig): ConfigFinding[] {
  return [
    ...compareLists({ after: after.queues, before: before.queues, noun: 'queue', path: 'queues' }),
    ...compareLists({ after: after.pools, before: before.pools, noun: 'pool', path: 'pools' }),
    ...compareKeyChecks(after, before),
    ...compareLists({
      after: after.workspaces ?? [],
      before: before.workspaces ?? [],
      noun: 'workspace',
      path: 'workspaces',
    }),
    ...compareFields(after.limits, before.limits, 'limits', 'limit'),
  ];
}

function compareKeyChecks(after: FleetConfig, before: FleetConfig): ConfigFinding[] {
  const isChecked = after.workspaces !== undefined;
  if (isChecked === (before.workspaces !== undefined)) {
    return [];
  }
  return [difference('workspaces', isChecked ? 'callers need keys now' : 'callers need no keys any more')];
}

function compareLists<T extends { name: string }>({
  after,
  before,
  noun,
  path,
}: ComparedList<T>): ConfigFinding[] {
  const entries = indexByName(after);
  const previous = indexByName(before);
  const dropped = [...previous]
    .filter(([id]) => !entries.has(id))
    .map(([, { entry }]) => difference(path, `${noun} ${JSON.stringify(entry.name)} is dropped`));
  const changed = [...entries].flatMap(([id, { entry, index }]) => {
    const subject = `${noun} ${JSON.stringify(entry.name)}`;
    const entryPath = `${path}[${index}]`;
    const old = previous.get(id)?.entry;
    return old === undefined
      ? [difference(entryPath, `${subject} is new${describeKeyCount(entry)}`)]
      : [...compareFields(entry, old, entryPath, subject), ...compareKeys(entry, old, entryPath, subject)];
  });
  return [...changed, ...dropped];
}

// Names of queues and pools may occur several times; the entries of one name are compared in their order.
function indexByName<T extends { name: string }>(entries: readonly T[]): Map<string, IndexedEntry<T>> {
  const counts = new Map<string, number>();
  return new Map(
    entries.map((entry, index) => {
      const count = counts.get(entry.name) ?? 0;
      counts.set(entry.name, count + 1);
      return [JSON.stringify([entry.name, count]), { entry, index }];
    }),
  );
}

function compareFields(after: object, before: object, path: string, subject: string): ConfigFinding[] {
  const leaves = new Map(listLeaves(after, ''));
  const previous = new Map(listLeaves(before, ''));
  const names = new Set([...leaves.keys(), ...previous.keys()]);
  return [...names]
    .filter((name) => leaves.get(name) !== previous.get(name))
    .map((name) => {
      const change = `changed from ${describe(previous.get(name))} to ${describe(leaves.get(name))}`;
      return difference(`${path}${name}`, `${subject}: ${change}`);
    });
}

// Lists are left out: the only ones in an entry are keys.
function listLeaves(value: object, path: string): [string, Leaf][] {
  return Object.entries(value).flatMap(([name, field]: [string, Leaf | object]): [string, Leaf][] => {
    if (Array.isArray(field)) {
      return [];
    }
    return typeof field === 'object' ? listLeaves(field, `${path}.${name}`) : [[`${path}.${name}`, field]];
  });
}

function compareKeys(after: object, before: object, path: string, subject: string): ConfigFinding[] {
  if (!hasKeys(after) || !hasKeys(before)) {
    return [];
  }
  const keys = new Set(after.keys);
  const previous = new Set(before.keys);
  const added = after.keys.filter((key) => !previous.has(key)).length;
  const dropped = before.keys.filter((key) => !keys.has(key)).length;
  if (added === 0 && dropped === 0) {
    return [];
  }
  const kept = after.keys.length - added;
  return [difference(`${path}.keys`, `${subject}: keys added: ${added}, dropped: ${dropped}, kept: ${kept}`)];
}

function describeKeyCount(entry: object): string {
  return hasKeys(entry) ? `, keys: ${entry.keys.length}` : '';
}

function hasKeys(entry: object): entry is Pick<WorkspaceConfig, 'keys'> {
  return 'keys' in entry;
}

function describe(value: Leaf): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

function difference(path: string, message: string): ConfigFinding {
  return { message, path, severity: FINDING_SEVERITY.difference };
}
