/**
 * Homes: the regions to which the requests of a route or a customer are confined.
 *
 * Homes are resolved to data centres at the entry VM that received the request, so that other VMs and
 * the steward compare data centres only.
 */
import type { Customer, Route } from '../fleet-plan/index.js';

export interface HomeOptions {
  /** Region of this entry VM; null if it is not known. */
  readonly region: string | null;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
}

export class Homes {
  private readonly dataCentres: readonly string[];

  private readonly knownRegions: ReadonlySet<string>;

  constructor(private readonly opts: HomeOptions) {
    this.dataCentres = Object.keys(opts.regions).sort();
    const own = opts.region === null ? [] : [opts.region];
    this.knownRegions = new Set([...Object.values(opts.regions), ...own]);
  }

  /**
   * Data centres whose servers a request may reach; null for all. Where both the route and the
   * customer have homes, both apply. A data centre without a region is in no home.
   */
  dataCentresFor(
    route: Pick<Route, 'homes'>,
    customer: Pick<Customer, 'homes'> | null,
  ): readonly string[] | null {
    const homes = [route.homes, customer?.homes].flatMap((regions) => (regions ? [regions] : []));
    const isHome = (region: string) => homes.every((regions) => regions.includes(region));
    // In a deployment with one region, the region of a data centre need not be known.
    if (this.knownRegions.size < 2 && [...this.knownRegions].every(isHome)) return null;
    if (homes.length === 0) return null;
    return this.dataCentres.filter((name) => isHome(this.opts.regions[name] ?? ''));
  }

  /**
   * Whether a request may be relayed by an entry VM in a data centre: in a home or in the region of
   * this VM, which received the request.
   * @param allowed Data centres whose servers the request may reach; null for all.
   */
  mayRelay(dataCentre: string, allowed: readonly string[] | null): boolean {
    if (allowed === null || allowed.includes(dataCentre)) return true;
    const region = this.opts.regions[dataCentre];
    return region !== undefined && region === this.opts.region;
  }
}

/** Whether a request may reach servers of a data centre. */
export function allows(allowed: readonly string[] | null | undefined, dataCentre: string): boolean {
  return allowed == null || allowed.includes(dataCentre);
}
