/** Decides which servers count as brittle. */

interface ServiceMember {
  readonly id: string;
  readonly service: string;
}

/** What is known of a server's own statements. */
export interface BrittleStatements<T> {
  /** Requests that the server says it may turn away in a second; null if it is not brittle. */
  statedPerS(server: T): number | null;
  /** Whether the server has stated that it is brittle, or no longer is. */
  isKnown(server: T): boolean;
}

/**
 * The brittle servers, each with the number of requests that it may turn away in a second. The servers
 * of a service become brittle together, so one that has not answered yet counts as the others.
 */
export function brittleServers<T extends ServiceMember>(
  servers: readonly T[],
  { statedPerS, isKnown }: BrittleStatements<T>,
): ReadonlyMap<string, number> {
  const ofServices = new Map<string, number>();
  servers.forEach((server) => {
    const perS = statedPerS(server);
    if (perS === null) return;
    ofServices.set(server.service, Math.min(perS, ofServices.get(server.service) ?? Infinity));
  });
  const perSOf = (server: T) =>
    statedPerS(server) ?? (isKnown(server) ? null : (ofServices.get(server.service) ?? null));
  return new Map(
    servers.flatMap((server) => {
      const perS = perSOf(server);
      return perS === null ? [] : [[server.id, perS] as const];
    }),
  );
}
