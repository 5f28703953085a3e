/** Where the weights of a model come from, and how long a load from there takes. */
import type { ModelSpec } from '../fleet-plan/index.js';
import type { EngineState } from './types.js';
import { hasCopy } from './view-index.js';

/** Time until a copy can be loaded from which on callers are told that time, ms. */
export const BLOCKED_MS = 2_000;

export function specOf(engine: EngineState, model: string): ModelSpec | undefined {
  return engine.spec.models.get(model);
}

export function loadSource(
  engine: EngineState,
  spec: ModelSpec,
): { ms: number; fromStore: boolean } {
  if (engine.copies.inMemory.includes(spec.name))
    return { ms: spec.memoryLoadMs, fromStore: false };
  if (engine.copies.onDisk.includes(spec.name)) return { ms: spec.diskLoadMs, fromStore: false };
  return { ms: spec.remoteLoadMs, fromStore: true };
}

/** Time until a model could be loaded on an engine from its copy, ms. */
export function copyWaitMs(nowMs: number, engine: EngineState, model: string): number {
  const loadMs = specOf(engine, model)?.diskLoadMs ?? 0;
  return Math.max(0, engine.busyUntilMs - nowMs) + loadMs;
}

/**
 * Whether an engine has a copy from which a model is loaded sooner than from the weight store: an
 * engine takes no other order during a load from the store.
 */
export function hasUsableCopy(nowMs: number, engine: EngineState, model: string): boolean {
  const remoteLoadMs = specOf(engine, model)?.remoteLoadMs ?? 0;
  return hasCopy(engine, model) && copyWaitMs(nowMs, engine, model) < remoteLoadMs;
}
