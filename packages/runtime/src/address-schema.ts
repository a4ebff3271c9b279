import * as z from 'zod';

/** Address in a settings file: IP address and port. */
export const addressSchema = z
  .string()
  .regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'must be an IP address and a port')
  .describe('IP address and port');
