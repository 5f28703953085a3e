/** Decides which throttled engines new loads avoid. */

/** Maximum fraction of a service's engines that may be avoided. */
const MAX_AVOIDED_FRACTION = 0.75;

interface ServiceMember {
  readonly id: string;
  readonly service: string;
}

/**
 * Ids of the throttled servers, without those of services in which nearly all servers are
 * throttled.
 */
export function avoidedServers(
  servers: readonly ServiceMember[],
  isThrottled: (id: string) => boolean,
): ReadonlySet<string> {
  const counts = new Map<string, { all: number; throttled: number }>();
  servers.forEach(({ id, service }) => {
    const count = counts.get(service) ?? { all: 0, throttled: 0 };
    count.all += 1;
    count.throttled += isThrottled(id) ? 1 : 0;
    counts.set(service, count);
  });
  const isAvoidable = (service: string) => {
    const { all, throttled } = counts.get(service) ?? { all: 0, throttled: 0 };
    return throttled <= all * MAX_AVOIDED_FRACTION;
  };
  const avoided = servers.filter(({ id, service }) => isThrottled(id) && isAvoidable(service));
  return new Set(avoided.map(({ id }) => id));
}
