import * as z from 'zod';

/**
 * Returns a schema of a list that is validated up to its first invalid item, and not at all if it has more than
 * `maxItems`. An array schema collects the problems of all items, which take many times the memory of the text.
 */
export function listSchema<T>(item: z.ZodType<T>, maxItems: number): z.ZodType<T[]> {
  return z.unknown().transform((value, ctx) => {
    if (!Array.isArray(value)) {
      ctx.addIssue({ code: 'custom', message: 'Invalid input: expected array' });
      return z.NEVER;
    }
    if (value.length > maxItems) {
      ctx.addIssue({ code: 'custom', message: `Too big: expected at most ${maxItems} items` });
      return z.NEVER;
    }
    return parseItems(value, item, ctx);
  });
}

function parseItems<T>(values: readonly unknown[], item: z.ZodType<T>, ctx: z.RefinementCtx): T[] {
  const items: T[] = [];
  for (const [index, value] of values.entries()) {
    const parsed = item.safeParse(value);
    if (!parsed.success) {
      for (const { message, path } of parsed.error.issues) {
        ctx.addIssue({ code: 'custom', message, path: [index, ...path] });
      }
      return z.NEVER;
    }
    items.push(parsed.data);
  }
  return items;
}
