import * as z from 'zod';

/** Schema of an address in a settings file: an IP address and a port, joined by a colon. */
export const addressSchema = z
  .string()
  .regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'must be an IP address and a port')
  .describe('IP address and port');
