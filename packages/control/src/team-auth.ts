import { createHash, timingSafeEqual } from 'node:crypto';

/**
 * Returns the team that the bearer token of an Authorization header belongs to, or undefined.
 * `tokens` holds the SHA-256 of each team's token in hexadecimal.
 */
export function findTeamByToken(
  tokens: Record<string, string>,
  header: string | undefined,
): string | undefined {
  const token = /^Bearer (.+)$/.exec(header ?? '')?.[1];
  if (token === undefined) {
    return undefined;
  }
  const digest = createHash('sha256').update(token).digest();
  const match = Object.entries(tokens).find(([, expected]) =>
    timingSafeEqual(digest, Buffer.from(expected, 'hex')),
  );
  return match?.[0];
}
