import * as z from 'zod';

/** Maximum length of the name of a team, pool, job, VM or member, in characters. */
export const MAX_NAME_LENGTH_CHARS = 63;

/** Name of a team, pool, job, VM or member: lower-case letters, digits and hyphens. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'must be lower-case letters, digits and hyphens')
  .max(MAX_NAME_LENGTH_CHARS)
  .describe(`name of lower-case letters, digits and hyphens, up to ${MAX_NAME_LENGTH_CHARS} characters`);
