/** Weight store on the virtual clock: beyond four concurrent loads, all share its bandwidth. */
import type { VirtualClock } from '../virtual/index.js';

/** Concurrent loads that the store serves without contention. */
const MAX_FULL_SPEED_LOADS = 4;

interface Transfer {
  remainingMb: number;
  onDone(): void;
}

/** Runs transfers with a transfer rate that depends on their number. */
export class WeightStore {
  private readonly transfers = new Set<Transfer>();

  private advancedAtMs = 0;

  private scheduleGeneration = 0;

  constructor(
    private readonly clock: VirtualClock,
    /** Transfer rate of one load without contention, MB/s. */
    private readonly mbPerS: number,
  ) {}

  /** Starts a transfer of `mb` MB. */
  fetch(mb: number, onDone: () => void): void {
    this.advanceTransfers();
    this.transfers.add({ remainingMb: mb, onDone });
    this.scheduleNextCompletion();
  }

  /** Current transfer rate of each load. */
  private get mbPerMs(): number {
    const slowdown = Math.max(1, this.transfers.size / MAX_FULL_SPEED_LOADS);
    return this.mbPerS / 1000 / slowdown;
  }

  /** Applies the progress of all transfers since the last call. */
  private advanceTransfers(): void {
    const mb = (this.clock.nowMs() - this.advancedAtMs) * this.mbPerMs;
    this.advancedAtMs = this.clock.nowMs();
    this.transfers.forEach((transfer) => {
      Object.assign(transfer, { remainingMb: transfer.remainingMb - mb });
    });
  }

  /**
   * Schedules the next completion. A new or finished transfer changes the transfer rate and thereby
   * that time, so events of an older generation are ignored.
   */
  private scheduleNextCompletion(): void {
    if (this.transfers.size === 0) return;
    this.scheduleGeneration += 1;
    const { scheduleGeneration } = this;
    const smallestMb = Math.min(...[...this.transfers].map((transfer) => transfer.remainingMb));
    this.clock.after(Math.max(0, smallestMb / this.mbPerMs), () => {
      if (scheduleGeneration === this.scheduleGeneration) this.finishCompleted();
    });
  }

  private finishCompleted(): void {
    this.advanceTransfers();
    const completed = [...this.transfers].filter(({ remainingMb }) => remainingMb <= 1e-6);
    completed.forEach((transfer) => this.transfers.delete(transfer));
    completed.forEach(({ onDone }) => onDone());
    this.scheduleNextCompletion();
  }
}
