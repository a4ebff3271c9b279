import { once } from 'node:events';
import { createServer } from 'node:net';
import { describe, expect, it } from 'vitest';
import { findFreePorts } from './support/ports';

/** Ports of a block; processes whose ids leave the same remainder begin with the same block. */
const PORTS_PER_BLOCK = 200;

describe('ports of the tests', () => {
  it('are not given to another test process that begins with the same block', async () => {
    const [port = 0] = await findFreePorts(1);
    const other = createServer().listen(port - (port % PORTS_PER_BLOCK), '127.0.0.1');
    const [error] = (await once(other, 'error')) as [NodeJS.ErrnoException];
    expect(error.code).toBe('EADDRINUSE');
  }, 2000);
});
