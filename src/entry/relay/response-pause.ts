/** Pauses the response of a backend server: its connection, and the time until it counts as idle. */
import type * as http from 'node:http';
import type { Socket } from 'node:net';
import type { IdleDetector } from './idle-detector.js';
import type { WorkTurns } from './work-turns.js';

export class ResponsePause {
  private pausedSocket: Socket | null = null;

  /** Whether the response is to be read on in a later turn. */
  private isWaiting = false;

  constructor(
    private readonly res: Pick<http.IncomingMessage, 'pause' | 'resume' | 'complete' | 'socket'>,
    private readonly idleDetector: Pick<IdleDetector, 'suspend' | 'resume'> | null,
  ) {}

  /**
   * Pauses the response. If it is paused alone, it keeps the pieces of what its connection reads; once
   * it is complete, its connection may serve another request.
   */
  pause(): void {
    const { res } = this;
    res.pause();
    this.pausedSocket ??= res.complete ? null : res.socket;
    this.pausedSocket?.pause();
    this.idleDetector?.suspend();
  }

  resume(): void {
    this.idleDetector?.resume();
    this.pausedSocket?.resume();
    this.pausedSocket = null;
    this.res.resume();
  }

  /** Notes that bytes were read; reads more in a later turn if this one has spent its time. */
  noteRead(turns: Pick<WorkTurns, 'isOpen' | 'noteRead' | 'whenNext'>): void {
    turns.noteRead();
    if (turns.isOpen || this.isWaiting) return;
    this.isWaiting = true;
    // A paused response would keep the other pieces that were read with these bytes.
    process.nextTick(() => {
      if (!this.res.complete) this.pause();
    });
    turns.whenNext(() => {
      this.isWaiting = false;
      this.resume();
    });
  }
}
