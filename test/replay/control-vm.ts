/** The VMs of the replay of a control path, and their links. */
import {
  LeaseManager,
  type LeaseSuccessor,
  SuccessorSelector,
} from '../../src/decisions/leases/index.js';
import { STEP_MS } from './control-network.js';
import { type ControlRules, PacedRules } from './control-rules.js';

const LEASE_MS = 2_000;
const MARGIN_MS = 300;
const BYTES_PER_MS_PER_MBPS = 125;

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
  leaseSentAtMs: number;
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

/** @param heirOf Chooses the successor of a steward. */
export function createVm(
  mbps: number,
  at: number,
  opts: FleetOptions,
  heirOf: (vm: Vm) => Omit<LeaseSuccessor, 'epoch'> | null,
): Vm {
  const name = `vm-${at}`;
  const rules = opts.rules?.(mbps) ?? new PacedRules(mbps);
  const vm: Vm = {
    name,
    at,
    mbps,
    up: new ByteQueue(mbps * BYTES_PER_MS_PER_MBPS),
    down: new ByteQueue(mbps * BYTES_PER_MS_PER_MBPS),
    manager: new LeaseManager({
      self: name,
      address: name,
      durationMs: LEASE_MS,
      marginMs: MARGIN_MS,
      heir: () => heirOf(vm),
      acquireWaitMs: () => rules.acquireWaitMs(LEASE_MS),
    }),
    selector: new SuccessorSelector(LEASE_MS),
    members: new Map(),
    rules,
    steward: null,
    heardAtMs: -Infinity,
    dialAtMs: 0,
    reportedAtMs: -Infinity,
    sharesAtMs: -Infinity,
    isQueued: false,
    isKilled: false,
  };
  return vm;
}

/** What the replay records of the stewards. */
export class StewardRecord {
  /** Number of times at which the fleet lost its steward. */
  lostStewards = 0;

  /** Longest time without a steward after the first one, ms. */
  longestGapMs = 0;

  /** Largest traffic of a steward within a second of its term, as a fraction of its link rate. */
  largestUse = 0;

  readonly stewards: string[] = [];

  private seenAtMs = -Infinity;

  note(nowMs: number, steward: Vm | null): void {
    if (steward === null) {
      if (this.seenAtMs === nowMs - STEP_MS) this.lostStewards += 1;
      if (this.stewards.length > 0)
        this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.seenAtMs);
      return;
    }
    this.seenAtMs = nowMs;
    if (this.stewards.at(-1) !== steward.name) this.stewards.push(steward.name);
    const second = Math.floor(nowMs / 1_000);
    const bytes = Math.max(steward.up.perS[second] ?? 0, steward.down.perS[second] ?? 0);
    const bytesPerS = steward.mbps * BYTES_PER_MS_PER_MBPS * 1_000;
    this.largestUse = Math.max(this.largestUse, bytes / bytesPerS);
  }
}
