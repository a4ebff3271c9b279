import { describe, expect, it } from 'vitest';
import * as z from 'zod';
import { listSchema, parseJson } from '../../src/jobs';

/** Longest error, in characters: three problems of 200 characters, and the number of the others. */
const MAX_ERROR_LENGTH = 650;

const ITEMS = 100_000;

// Guards against a validation whose memory, time and error grow with the number of invalid values.
describe('listSchema', () => {
  it('takes a list with as many items as are allowed', () => {
    const schema = listSchema(z.int(), 3);
    expect(schema.safeParse([1, 2, 3]).data).toEqual([1, 2, 3]);
    expect(schema.safeParse([1, 2, 3, 4]).success).toBe(false);
  });

  it.each([undefined, null, 'text', { length: 1 }])('rejects %j', (value) => {
    expect(listSchema(z.unknown(), 3).safeParse(value).success).toBe(false);
  });

  it('names the first invalid item and validates none after it', () => {
    const validated: unknown[] = [];
    const item = z.unknown().refine((value) => {
      validated.push(value);
      return value !== 'bad';
    });
    const parsed = listSchema(item, 10).safeParse(['good', 'bad', 'good', 'bad']);
    expect(parsed.error?.issues.map(({ path }) => path)).toEqual([[1]]);
    expect(validated).toEqual(['good', 'bad']);
  });

  it('validates no item of a list that is too long', () => {
    const item = z.unknown().refine(() => {
      throw new Error('validated');
    });
    expect(listSchema(item, 10).safeParse(Array(11).fill(0)).success).toBe(false);
  });
});

// Guards against errors, which become answers and log lines, that are as long as the text or longer.
describe('parseJson', () => {
  const schema = z.object({ items: z.array(z.object({ a: z.string(), b: z.string() })) });

  it.each<[name: string, text: string]>([
    ['of wrong items', JSON.stringify({ items: Array(ITEMS).fill(0) })],
    ['without fields', JSON.stringify({ items: Array(ITEMS).fill({}) })],
    ['that ends early', `{"items":[${'0,'.repeat(ITEMS)}`],
    ['that is no JSON', 'x'.repeat(ITEMS)],
  ])('has a short error for a long text %s', (_, text) => {
    expect(parseJson(text, schema)._unsafeUnwrapErr().length).toBeLessThan(MAX_ERROR_LENGTH);
  });

  it('names the places of the first three problems and counts the others', () => {
    const error = parseJson('{"items":[{},{},{}]}', schema)._unsafeUnwrapErr();
    expect(error).toMatch(/^items\.0\.a: .*; items\.0\.b: .*; items\.1\.a: .*; and 3 more$/u);
  });
});
