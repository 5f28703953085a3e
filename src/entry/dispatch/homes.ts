/** Which data centres are asked to load a target that requests wait for. */
import type { Catalog } from '../../decisions/catalog/index.js';
import type { TargetDemand } from '../../decisions/fair-queue/index.js';
import * as settingsTree from '../../decisions/settings-tree/index.js';
import type { Peers } from '../peers/index.js';

/** After this wait the own data centre is asked besides. */
const HOME_PATIENCE_MS = 2_000;

export interface HomeContext {
  readonly dataCentre: string;
  readonly peers: Peers;
}

function withEngines(current: Catalog, service: string): readonly string[] {
  const names = [...current.backends.values()]
    .filter(({ kind, service: of, leaving }) => kind === 'model' && of === service && !leaving)
    .map(({ dataCentre }) => dataCentre);
  return [...new Set(names)];
}

/**
 * One data centre, the same for all entry VMs that see the same stewards, so that all waiters join
 * one decision; and this one too once they have waited long.
 */
export function homesOf(
  current: Catalog,
  { dataCentre, peers }: HomeContext,
  nowMs: number,
  { target: name, oldestAtMs }: TargetDemand,
): readonly string[] {
  const target = current.targets.get(name);
  if (target === undefined) return [];
  const reachable = withEngines(current, target.service).filter(
    (candidate) => peers.stewardOf(candidate) !== null,
  );
  const home = reachable.reduce<string | null>((best, candidate) => {
    const rank = (dc: string) => settingsTree.sha256(`${target.model} ${dc}`);
    return best === null || rank(candidate) > rank(best) ? candidate : best;
  }, null);
  const patient = nowMs - oldestAtMs < HOME_PATIENCE_MS;
  const local = reachable.includes(dataCentre) && !patient ? [dataCentre] : [];
  return [...new Set([...(home === null ? [] : [home]), ...local])];
}
