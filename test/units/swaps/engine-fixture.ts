/** Engines and replicas for tests of the swap planner. */
import type { EngineSpec } from '../../../src/decisions/fleet-plan/index.js';
import type { EngineState, Replica } from '../../../src/decisions/swaps/index.js';

/** A replica that was loaded long ago and runs nothing. */
export function createReplica(model: string, fields: Partial<Replica> = {}): Replica {
  return {
    model,
    adapters: new Set(),
    running: 0,
    runningAdapters: new Map(),
    loadedAtMs: 0,
    usedAtMs: 0,
    adapterUsedAtMs: new Map(),
    ...fields,
  };
}

/** A healthy engine that takes orders and loads nothing, of the service `drafting`. */
export function createEngine(
  id: string,
  spec: EngineSpec,
  replicas: readonly Replica[],
  fields: Partial<EngineState>,
): EngineState {
  const sizeMb = ({ model }: Replica) => spec.models.get(model)?.sizeMb ?? 0;
  return {
    id,
    service: 'drafting',
    version: 'v1',
    spec,
    dataCentre: 'a',
    open: true,
    openForAdapters: true,
    healthy: true,
    replicas,
    loading: [],
    loadingAdapters: [],
    busyUntilMs: 0,
    reservedMb: replicas.reduce((sum, replica) => sum + sizeMb(replica), 0),
    reservedAdapterSlots: replicas.reduce((sum, { adapters }) => sum + adapters.size, 0),
    copies: { inMemory: [], onDisk: [] },
    ...fields,
  };
}
