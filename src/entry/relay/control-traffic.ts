/** Bounds and measures the control messages that a steward exchanges with its members. */
import type * as net from 'node:net';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import {
  controlBytesPerS,
  isSlowLink,
  SendBudget,
  type SendPriority,
} from '../../decisions/message-pacing/index.js';
import { MessageLink } from './message-link.js';
import type { Member } from './steward-member.js';

const MS_PER_S = 1000;
/** Interval at which the traffic is measured, ms. */
const MEASURE_MS = 1_000;

export interface ControlTrafficOptions {
  readonly vm: string;
  /** Link rate of this VM, Mbit/s; null if it is unknown. */
  readonly linkMbps: number | null;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

interface Bytes {
  readonly received: number;
  readonly sent: number;
}

export class ControlTraffic {
  /** Bytes per second that the link can carry, in each direction; null if its rate is unknown. */
  readonly bytesPerS: number | null;

  /** Whether the link is too slow for the control traffic of a large fleet. */
  readonly isSlow: boolean;

  private readonly budget: SendBudget;

  /** When anything was last sent on a connection. */
  private readonly sentAtMs = new WeakMap<MessageLink, number>();

  /** Bytes of each connection when they were last measured. */
  private measured = new Map<MessageLink, Bytes>();

  private measuredAtMs = -Infinity;

  /** Since when full lists have been waiting; null if none do. */
  private deferringSinceMs: number | null = null;

  constructor(private readonly opts: ControlTrafficOptions) {
    this.bytesPerS = controlBytesPerS(opts.linkMbps);
    this.isSlow = isSlowLink(opts.linkMbps);
    this.budget = new SendBudget(this.bytesPerS);
  }

  /** Creates the sending side of a member's connection. */
  createLink(socket: net.Socket): MessageLink {
    const link = new MessageLink(socket, (bytes) => {
      const nowMs = this.opts.clock.steadyMs();
      this.sentAtMs.set(link, nowMs);
      this.budget.noteSent(nowMs, bytes);
    });
    if (isSlowLink(this.opts.linkMbps)) link.packAll();
    return link;
  }

  /** Whether a message of this priority may be sent to a member now. */
  allows(nowMs: number, { vm, link }: Member, priority: SendPriority): boolean {
    if (vm === this.opts.vm) return true;
    return !link.isBusy && this.budget.allows(nowMs, priority);
  }

  /**
   * When the last message was sent that shows the member that this steward is there. On a link of
   * unknown rate, only messages of the state count.
   */
  shownAtMs({ link, sentAtMs }: Member): number {
    if (this.bytesPerS === null) return sentAtMs;
    return Math.max(sentAtMs, this.sentAtMs.get(link) ?? -Infinity);
  }

  /** Publishes the bytes per second and the number of full lists that wait to be sent. */
  measure(nowMs: number, members: ReadonlySet<Member>): void {
    const elapsedMs = nowMs - this.measuredAtMs;
    if (elapsedMs < MEASURE_MS) return;
    const remote = [...members].filter(({ vm }) => vm !== this.opts.vm);
    const current = new Map(remote.map(({ link }) => [link, link.bytes]));
    const sumOf = (direction: keyof Bytes) =>
      [...current].reduce(
        (sum, [link, bytes]) =>
          sum + bytes[direction] - (this.measured.get(link)?.[direction] ?? 0),
        0,
      );
    (['received', 'sent'] as const).forEach((direction) => {
      const bytes = sumOf(direction);
      const perS = Number.isFinite(elapsedMs) ? (bytes * MS_PER_S) / elapsedMs : 0;
      this.opts.metrics.count('relay_control_bytes_total', { direction }, bytes);
      this.opts.metrics.gauge('relay_control_bytes_per_second', perS, { direction });
    });
    this.measured = current;
    this.measuredAtMs = nowMs;
    this.noteDeferred(nowMs, remote);
  }

  /** Resets the gauges at the end of a term. */
  end(): void {
    ['received', 'sent'].forEach((direction) => {
      this.opts.metrics.gauge('relay_control_bytes_per_second', 0, { direction });
    });
    this.opts.metrics.gauge('relay_deferred_lists', 0);
    this.measured = new Map();
    this.measuredAtMs = -Infinity;
    this.deferringSinceMs = null;
  }

  private noteDeferred(nowMs: number, members: readonly Member[]): void {
    const waiting = members.filter(({ vm, pendingLists }) => vm !== null && pendingLists.size > 0);
    const lists = waiting.reduce((sum, { pendingLists }) => sum + pendingLists.size, 0);
    this.opts.metrics.gauge('relay_deferred_lists', lists);
    if (lists > 0 && this.deferringSinceMs === null) {
      this.deferringSinceMs = nowMs;
      this.opts.logger.info('lists-deferred', { lists, members: waiting.length });
    } else if (lists === 0 && this.deferringSinceMs !== null) {
      this.opts.logger.info('lists-sent', { afterMs: nowMs - this.deferringSinceMs });
      this.deferringSinceMs = null;
    }
  }
}
