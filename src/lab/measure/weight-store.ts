/** The weight store on the virtual clock: four loads at full speed, all slower beyond. */
import type { VirtualClock } from '../virtual/index.js';

const FULL_SPEED_LOADS = 4;

interface Transfer {
  leftMb: number;
  onDone(): void;
}

export class WeightStore {
  private readonly transfers = new Set<Transfer>();

  private accountedAtMs = 0;

  private generation = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly mbPerS: number,
  ) {}

  fetch(mb: number, onDone: () => void): void {
    this.account();
    this.transfers.add({ leftMb: mb, onDone });
    this.schedule();
  }

  private get mbPerMs(): number {
    const slowdown = Math.max(1, this.transfers.size / FULL_SPEED_LOADS);
    return this.mbPerS / 1000 / slowdown;
  }

  private account(): void {
    const mb = (this.clock.nowMs() - this.accountedAtMs) * this.mbPerMs;
    this.accountedAtMs = this.clock.nowMs();
    this.transfers.forEach((transfer) => {
      Object.assign(transfer, { leftMb: transfer.leftMb - mb });
    });
  }

  private schedule(): void {
    if (this.transfers.size === 0) return;
    this.generation += 1;
    const { generation } = this;
    const leftMb = Math.min(...[...this.transfers].map((transfer) => transfer.leftMb));
    this.clock.after(Math.max(0, leftMb / this.mbPerMs), () => {
      if (generation === this.generation) this.finishDue();
    });
  }

  private finishDue(): void {
    this.account();
    const due = [...this.transfers].filter(({ leftMb }) => leftMb <= 1e-6);
    due.forEach((transfer) => this.transfers.delete(transfer));
    due.forEach(({ onDone }) => onDone());
    this.schedule();
  }
}
