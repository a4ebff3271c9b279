import { createHash, timingSafeEqual } from 'node:crypto';

/** Finds the team that a bearer token belongs to, or undefined. */
export function teamOfToken(tokens: Record<string, string>, header: string | undefined): string | undefined {
  const token = /^Bearer (.+)$/.exec(header ?? '')?.[1];
  if (token === undefined) {
    return undefined;
  }
  const digest = createHash('sha256').update(token).digest();
  const match = Object.entries(tokens).find(([, known]) =>
    timingSafeEqual(digest, Buffer.from(known, 'hex')),
  );
  return match?.[0];
}
