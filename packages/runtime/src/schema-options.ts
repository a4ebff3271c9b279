import type { ZodType } from 'zod';
import * as z from 'zod';

/** An option of a settings schema. */
export interface SchemaOption {
  /** Default as JSON; undefined when there is none. */
  default?: string;
  /** Names from the root joined by dots; `<name>` stands for any name. */
  path: string;
  required: boolean;
  /** What is allowed, in words. */
  type: string;
}

/** What a schema says about a path. */
export interface SchemaPath {
  /** Names allowed at the place where the path leaves the schema. */
  allowedNames: string[];
  found: boolean;
  /** What is allowed as the value, when the path was found. */
  type: string;
}

interface JsonSchema {
  additionalProperties?: JsonSchema | boolean;
  anyOf?: JsonSchema[];
  const?: unknown;
  default?: unknown;
  enum?: unknown[];
  exclusiveMinimum?: number;
  format?: string;
  items?: JsonSchema;
  maximum?: number;
  maxLength?: number;
  minimum?: number;
  minItems?: number;
  pattern?: string;
  properties?: Record<string, JsonSchema>;
  propertyNames?: JsonSchema;
  required?: string[];
  type?: string;
}

/** Lists the options of a settings schema, leaves only, in order of their paths. */
export function listOptions(schema: ZodType): SchemaOption[] {
  return walk(toJsonSchema(schema), '', true);
}

/** Follows a path of names through a settings schema. */
export function findOption(schema: ZodType, names: readonly string[]): SchemaPath {
  let node = toJsonSchema(schema);
  for (const name of names) {
    const next = child(node, name);
    if (next === undefined) {
      return { allowedNames: allowedNames(node), found: false, type: describeType(node) };
    }
    node = next;
  }
  return { allowedNames: allowedNames(node), found: true, type: describeType(node) };
}

function toJsonSchema(schema: ZodType): JsonSchema {
  return z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as JsonSchema;
}

function walk(node: JsonSchema, path: string, required: boolean): SchemaOption[] {
  const children = childrenOf(node);
  if (children.length === 0) {
    return [
      {
        ...(node.default === undefined ? {} : { default: JSON.stringify(node.default) }),
        path,
        required: required && node.default === undefined,
        type: describeType(node),
      },
    ];
  }
  return children.flatMap(([name, next]) =>
    walk(next, path === '' ? name : `${path}.${name}`, name === ANY_NAME || isRequired(node, name)),
  );
}

const ANY_NAME = '<name>';

function childrenOf(node: JsonSchema): [string, JsonSchema][] {
  const fixed = Object.entries(node.properties ?? {}).sort(([a], [b]) => a.localeCompare(b));
  return typeof node.additionalProperties === 'object'
    ? [...fixed, [ANY_NAME, node.additionalProperties]]
    : fixed;
}

function child(node: JsonSchema, name: string): JsonSchema | undefined {
  if (node.properties !== undefined && Object.hasOwn(node.properties, name)) {
    return node.properties[name];
  }
  const open = typeof node.additionalProperties === 'object' ? node.additionalProperties : undefined;
  return isAllowedName(node, name) ? open : undefined;
}

function isAllowedName(node: JsonSchema, name: string): boolean {
  const { maxLength, pattern } = node.propertyNames ?? {};
  return (
    (pattern === undefined || new RegExp(pattern).test(name)) &&
    (maxLength === undefined || name.length <= maxLength)
  );
}

function allowedNames(node: JsonSchema): string[] {
  const fixed = Object.keys(node.properties ?? {}).sort();
  return typeof node.additionalProperties === 'object'
    ? [...fixed, `a name matching ${node.propertyNames?.pattern ?? '.*'}`]
    : fixed;
}

function isRequired(node: JsonSchema, name: string): boolean {
  return node.required?.includes(name) ?? false;
}

function describeType(node: JsonSchema): string {
  if (node.enum !== undefined) {
    return `one of ${node.enum.map((value) => JSON.stringify(value)).join(', ')}`;
  }
  if (node.anyOf !== undefined) {
    return node.anyOf.map(describeType).join(' or ');
  }
  switch (node.type) {
    case 'array':
      return `list of ${describeType(node.items ?? {})}${node.minItems === undefined ? '' : `, at least ${node.minItems}`}`;
    case 'boolean':
      return 'true or false';
    case 'integer':
      return `whole number${describeRange(node)}`;
    case 'number':
      return `number${describeRange(node)}`;
    case 'object':
      return 'object';
    default:
      return describeText(node);
  }
}

function describeRange(node: JsonSchema): string {
  const from = node.exclusiveMinimum === undefined ? node.minimum : undefined;
  return [
    from === undefined || from === Number.MIN_SAFE_INTEGER ? '' : ` from ${from}`,
    node.exclusiveMinimum === undefined ? '' : ` above ${node.exclusiveMinimum}`,
    node.maximum === undefined || node.maximum === Number.MAX_SAFE_INTEGER ? '' : ` up to ${node.maximum}`,
  ].join('');
}

function describeText(node: JsonSchema): string {
  if (node.format === 'uri') {
    return 'URL';
  }
  return node.pattern === undefined ? 'text' : `text matching ${node.pattern}`;
}
