import type { ZodType } from 'zod';
import * as z from 'zod';

/** Leaf option of a settings schema. */
export interface SchemaOption {
  /** Default as JSON; undefined if there is none. */
  default?: string;
  /** Property names from the root, joined by dots; `<name>` stands for any name. */
  path: string;
  /** Whether the option is required if its parent object is present. */
  required: boolean;
  /** Description of the allowed values. */
  type: string;
}

/** Result of resolving a path against a schema. */
export interface SchemaPathMatch {
  /** Names allowed below the last element of the path that exists in the schema. */
  allowedNames: string[];
  isFound: boolean;
  /** Description of the allowed values of the last element that exists in the schema. */
  type: string;
}

interface JsonSchema {
  additionalProperties?: JsonSchema | boolean;
  anyOf?: JsonSchema[];
  default?: unknown;
  description?: string;
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

/** Lists the leaf options of a settings schema in the order of their paths. */
export function listOptions(schema: ZodType): SchemaOption[] {
  return collectOptions(toJsonSchema(schema), '', true);
}

/** Resolves a path of property names in a settings schema. */
export function findOption(schema: ZodType, names: readonly string[]): SchemaPathMatch {
  let node = toJsonSchema(schema);
  for (const name of names) {
    const next = resolveChild(node, name);
    if (next === undefined) {
      return { allowedNames: listAllowedNames(node), isFound: false, type: describeType(node) };
    }
    node = next;
  }
  return { allowedNames: listAllowedNames(node), isFound: true, type: describeType(node) };
}

function toJsonSchema(schema: ZodType): JsonSchema {
  return z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as JsonSchema;
}

function collectOptions(node: JsonSchema, path: string, required: boolean): SchemaOption[] {
  const children = listChildren(node);
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
    collectOptions(next, path === '' ? name : `${path}.${name}`, isRequired(node, name)),
  );
}

const NAME_PLACEHOLDER = '<name>';

function listChildren(node: JsonSchema): [string, JsonSchema][] {
  const fixed = Object.entries(node.properties ?? {}).sort(([a], [b]) => a.localeCompare(b));
  return typeof node.additionalProperties === 'object'
    ? [...fixed, [NAME_PLACEHOLDER, node.additionalProperties]]
    : fixed;
}

function resolveChild(node: JsonSchema, name: string): JsonSchema | undefined {
  if (node.properties !== undefined && Object.hasOwn(node.properties, name)) {
    return node.properties[name];
  }
  const additional = typeof node.additionalProperties === 'object' ? node.additionalProperties : undefined;
  return isAllowedName(node, name) ? additional : undefined;
}

function isAllowedName(node: JsonSchema, name: string): boolean {
  const { maxLength, pattern } = node.propertyNames ?? {};
  return (
    (pattern === undefined || new RegExp(pattern).test(name)) &&
    (maxLength === undefined || name.length <= maxLength)
  );
}

function listAllowedNames(node: JsonSchema): string[] {
  const fixed = Object.keys(node.properties ?? {}).sort();
  return typeof node.additionalProperties === 'object'
    ? [...fixed, node.propertyNames?.description ?? 'any name']
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
  if (node.description !== undefined) {
    return node.description;
  }
  if (node.format === 'uri') {
    return 'URL';
  }
  return node.pattern === undefined ? 'text' : `text matching ${node.pattern}`;
}
