/** Time, links and the lease's store of the replay of a control path. */
import {
  type Lease,
  type LeaseEffect,
  LeaseEffectType,
  type LeaseEvent,
  LeaseEventType,
} from '../../src/decisions/leases/index.js';
import type { Vm } from './control-vm.js';

export const STEP_MS = 5;

export class Network {
  nowMs = 0;

  private readonly due = new Map<number, (() => void)[]>();

  private stored: Lease | null = null;

  private version = 0;

  /** Makes the calls that are due now. */
  protected runDue(): void {
    (this.due.get(this.nowMs) ?? []).forEach((call) => call());
    this.due.delete(this.nowMs);
  }

  protected after(ms: number, call: () => void): void {
    const atMs = Math.ceil((this.nowMs + ms) / STEP_MS) * STEP_MS;
    const dueMs = Math.max(atMs, this.nowMs + STEP_MS);
    this.due.set(dueMs, [...(this.due.get(dueMs) ?? []), call]);
  }

  protected callStore(effect: LeaseEffect): LeaseEvent {
    const { stored: lease, version } = this;
    if (effect.type !== LeaseEffectType.write) return { type: LeaseEventType.read, lease, version };
    if (effect.version !== version) return { type: LeaseEventType.conflict };
    this.stored = effect.lease;
    this.version += 1;
    return { type: LeaseEventType.written, version: this.version };
  }

  /** Sends bytes over the links of two VMs; a steward is connected to itself without them. */
  protected send(from: Vm, to: Vm, bytes: number, deliver: () => void): void {
    if (from === to) {
      this.after(0, deliver);
      return;
    }
    const leftAtMs = from.up.push(this.nowMs, bytes);
    this.after(leftAtMs - this.nowMs + 1, () => {
      if (to.isKilled) return;
      const arrivedAtMs = to.down.push(this.nowMs, bytes);
      this.after(arrivedAtMs - this.nowMs, deliver);
    });
  }
}
