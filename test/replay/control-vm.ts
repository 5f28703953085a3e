/** The VMs of the replay of a control path, and their links. */
import type { LeaseManager, SuccessorSelector } from '../../src/decisions/leases/index.js';
import type { ControlRules } from './control-rules.js';

/** One direction of a link: a queue of bytes. */
export class ByteQueue {
  private freeAtMs = 0;

  /** Bytes by second. */
  readonly perS: number[] = [];

  constructor(private readonly bytesPerMs: number) {}

  /** Returns the time at which the last of the bytes has passed. */
  push(nowMs: number, bytes: number): number {
    const second = Math.floor(nowMs / 1_000);
    this.perS[second] = (this.perS[second] ?? 0) + bytes;
    this.freeAtMs = Math.max(nowMs, this.freeAtMs) + bytes / this.bytesPerMs;
    return this.freeAtMs;
  }
}

/** A VM that is connected to a steward. */
export interface ReplayMember {
  readonly vm: Vm;
  readonly sinceMs: number;
  reportedAtMs: number;
  viewedAtMs: number;
  /** When anything was last sent to it. */
  shownAtMs: number;
  leaseVersion: number;
  peers: number;
  hasLists: boolean;
}

/** A VM of the replay. */
export interface Vm {
  readonly name: string;
  readonly at: number;
  readonly mbps: number;
  readonly up: ByteQueue;
  readonly down: ByteQueue;
  manager: LeaseManager;
  readonly selector: SuccessorSelector;
  readonly members: Map<Vm, ReplayMember>;
  readonly rules: ControlRules;
  steward: Vm | null;
  heardAtMs: number;
  dialAtMs: number;
  reportedAtMs: number;
  sharesAtMs: number;
  isQueued: boolean;
  isKilled: boolean;
}

export interface FleetOptions {
  /** Link rates of the VMs, Mbit/s. */
  readonly links: readonly number[];
  /** VMs whose store calls fail, and when, ms. */
  readonly rejected?: {
    vms(at: number): boolean;
    readonly fromMs: number;
    readonly untilMs: number;
  };
  /** Kills the VMs for which it is true at this time, ms. */
  readonly killed?: { vms(mbps: number): boolean; readonly atMs: number };
  /** When the VMs with links above 100 Mbit/s start, ms; 0 without it. */
  readonly fastFromMs?: number;
  rules?(mbps: number): ControlRules;
}
