/** Reads flat lists of header names and values, as Node.js gives them. */

/** Name and value pairs of a flat header list. */
export function headerPairs(raw: readonly string[]): readonly (readonly [string, string])[] {
  return raw.flatMap((name, at) => (at % 2 === 0 ? [[name, raw[at + 1] ?? ''] as const] : []));
}

/** All values of a header, in order. */
export function headerValues(raw: readonly string[], lowerName: string): readonly string[] {
  return headerPairs(raw)
    .filter(([name]) => name.toLowerCase() === lowerName)
    .map(([, value]) => value);
}
