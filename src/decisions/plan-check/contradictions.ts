/** Limits that contradict each other. */
import { type EngineSpec, type ModelSpec, RetrySafety, type Route } from '../fleet-plan/index.js';
import { routeSubject } from './references.js';
import {
  createFinding,
  type Finding,
  FindingKind,
  EntryKind,
  type PlanDraft,
  subjectOf,
} from './types.js';

function mayRunOnce({ retrySafety, resumable }: Route): boolean {
  return retrySafety === RetrySafety.once || (retrySafety === RetrySafety.stream && !resumable);
}

function findRouteLimits({ plan }: PlanDraft): readonly Finding[] {
  return plan.routes.flatMap((route) => {
    const { objectiveMs, timeoutMs, attempts } = route;
    const subject = routeSubject(route);
    const late = `target latency ${objectiveMs} ms is above the timeout of ${timeoutMs} ms`;
    const retried = `${attempts} attempts, but its requests may run only once`;
    return [
      ...(objectiveMs > timeoutMs
        ? [createFinding(FindingKind.objectiveAboveTimeout, subject, late)]
        : []),
      ...(attempts > 1 && mayRunOnce(route)
        ? [createFinding(FindingKind.attemptsWithoutRetry, subject, retried)]
        : []),
    ];
  });
}

/** A request that needs more units than the burst is never admitted. */
function findBursts({ plan }: PlanDraft): readonly Finding[] {
  return [...plan.customers.values()]
    .filter(({ ratePerS, burst, defaultUnits }) => ratePerS > 0 && burst < defaultUnits)
    .map(({ name, burst, defaultUnits }) => {
      const detail = `burst ${burst} is smaller than a default request of ${defaultUnits}`;
      const subject = subjectOf(EntryKind.customer, name);
      return createFinding(FindingKind.burstBelowRequest, subject, detail);
    });
}

function memoryFault(engine: EngineSpec, model: ModelSpec): string | null {
  const { memoryMb } = engine;
  if (model.sizeMb > memoryMb) {
    return `${model.sizeMb} MB do not fit into the engine's ${memoryMb} MB`;
  }
  if (model.adapterCount > 0 && model.sizeMb + model.adapterMb > memoryMb) {
    return `with one adapter of ${model.adapterMb} MB it does not fit into the engine's ${memoryMb} MB`;
  }
  return null;
}

function findModelLimits({ plan }: PlanDraft): readonly Finding[] {
  return [...plan.services.values()].flatMap(({ name, engine }) =>
    [...(engine?.models.values() ?? [])].flatMap((model) => {
      if (engine === null) return [];
      const subject = subjectOf(EntryKind.model, `${name}/${model.name}`);
      const fault = memoryFault(engine, model);
      const adapters = `has ${model.adapterCount} adapters, but the engine has no adapter slots`;
      return [
        ...(fault === null ? [] : [createFinding(FindingKind.modelAboveMemory, subject, fault)]),
        ...(model.adapterCount > 0 && engine.adapterSlots === 0
          ? [createFinding(FindingKind.noAdapterSlots, subject, adapters)]
          : []),
      ];
    }),
  );
}

function findCallerLimits({ plan }: PlanDraft): readonly Finding[] {
  const { headerTimeoutMs, idleTimeoutMs } = plan.limits;
  if (headerTimeoutMs <= idleTimeoutMs) return [];
  const detail = `header timeout ${headerTimeoutMs} ms is above the idle timeout of ${idleTimeoutMs} ms`;
  return [createFinding(FindingKind.headerTimeoutAboveIdle, EntryKind.limits, detail)];
}

/** Where route and customer both have allowed regions, a request may use only what is in both. */
function findRegions({ plan, routeRegions, customerRegions }: PlanDraft): readonly Finding[] {
  return plan.routes.flatMap((route, at) => {
    const regions = routeRegions[at] ?? null;
    if (regions === null || route.isPublic) return [];
    const apart = [...customerRegions]
      .filter(([, own]) => own !== null && !own.some((region) => regions.includes(region)))
      .map(([name]) => JSON.stringify(name));
    if (apart.length === 0) return [];
    const detail = `no allowed region in common with customers ${apart.join(', ')}`;
    return [createFinding(FindingKind.noCommonRegion, routeSubject(route), detail)];
  });
}

export function findContradictions(draft: PlanDraft): readonly Finding[] {
  return [findRouteLimits, findBursts, findModelLimits, findCallerLimits, findRegions].flatMap(
    (find) => find(draft),
  );
}
