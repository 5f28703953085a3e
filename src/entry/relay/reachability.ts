/** Learns whether this entry VM is partitioned from the servers of a service, also by probes. */
import * as net from 'node:net';
import type { Clock } from '../../core/clock/index.js';
import type { Logger } from '../../core/logger/index.js';
import type { Metrics } from '../../core/metrics/index.js';
import type { Task } from '../../core/supervisor/index.js';
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import { Reachability } from '../../decisions/reachability/index.js';

const TICK_MS = 50;
/** As for requests; see `attempt.ts`. */
const CONNECT_TIMEOUT_MS = 400;
/** Time for which the servers of a service are silent, while requests run there, until a probe, ms. */
const SILENCE_MS = 500;
/**
 * Duration of a partition below which it explains no broken run, ms: servers that crash one after the
 * other look like it until a probe connects.
 */
const MIN_PARTITION_MS = 1_500;
/** Maximum time for which `isReached` waits for probes, ms. */
const MAX_WAIT_MS = 2 * CONNECT_TIMEOUT_MS + 2 * TICK_MS;

/** What an exchange tells and asks about the servers of its service. */
export interface ServerReachability {
  /** Whether new connections to the service's servers can't be made. */
  isPartitioned(service: string): boolean;
  /** Since when they can't be made, ms on the steady clock; null if they can. */
  sinceMs(service: string): number | null;
  /** Records that an attempt begun at `startedAtMs` made no connection to a server. */
  noteConnectFailure(server: BackendServer, startedAtMs: number): void;
  /**
   * Resolves with whether this VM reaches the service's servers, after a run was cut off at one of
   * them. Probes them if that is not known.
   */
  isReached(service: string): Promise<boolean>;
  /**
   * Resolves, once this VM reaches the server's service, with whether the server still accepts
   * connections; with false if the partition was too short to explain anything.
   */
  outlives(server: BackendServer): Promise<boolean>;
}

export interface ReachabilityOptions {
  readonly clock: Pick<Clock, 'steadyMs'>;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'gauge'>;
  backends(): ReadonlyMap<string, BackendServer>;
  /** Services at which requests run whose servers have all sent nothing for some time. */
  silentServices(silenceMs: number): readonly string[];
  /** Called when this VM becomes partitioned from the servers of a service, or no longer is. */
  onChange(service: string, isPartitioned: boolean): void;
}

interface Waiter {
  readonly service: string;
  readonly sinceMs: number;
  settle(isReached: boolean): void;
}

interface DoubtfulServer {
  readonly server: BackendServer;
  readonly settles: ((isAlive: boolean) => void)[];
}

export class ReachabilityTask implements Task, ServerReachability {
  readonly name = 'reachability';

  private readonly reachability = new Reachability();

  private timer: NodeJS.Timeout | null = null;

  private readonly sockets = new Set<net.Socket>();

  private waiters: Waiter[] = [];

  /** Servers at which runs were cut off during a partition, by id. */
  private readonly doubtful = new Map<string, DoubtfulServer>();

  constructor(private readonly opts: ReachabilityOptions) {}

  async start(): Promise<void> {
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) clearInterval(this.timer);
    this.sockets.forEach((socket) => socket.destroy());
    this.waiters.splice(0).forEach(({ settle }) => settle(true));
    this.doubtful.forEach(({ settles }) => settles.forEach((settle) => settle(true)));
  }

  /** Applies a changed list of servers. */
  noteServers(backends: ReadonlyMap<string, BackendServer>): void {
    this.reachability.setServers(backends.values());
    this.applyChanges();
  }

  /** Services from which this VM is partitioned. */
  partitionedServices(): readonly string[] {
    return this.reachability.partitionedServices();
  }

  /** Services to whose servers a connection was made in the last `maxAgeMs`, and its age. */
  connectedServices(maxAgeMs: number): readonly { service: string; ageMs: number }[] {
    const nowMs = this.opts.clock.steadyMs();
    const services = new Set([...this.opts.backends().values()].map(({ service }) => service));
    return [...services]
      .map((service) => ({ service, ageMs: nowMs - this.reachability.connectedAtMs(service) }))
      .filter(({ ageMs }) => ageMs <= maxAgeMs);
  }

  isPartitioned(service: string): boolean {
    return this.reachability.isPartitioned(service);
  }

  sinceMs(service: string): number | null {
    return this.reachability.sinceMs(service);
  }

  noteConnectFailure({ id }: BackendServer, startedAtMs: number): void {
    this.reachability.noteConnectFailure(this.opts.clock.steadyMs(), id, startedAtMs);
    this.update();
  }

  /**
   * Records a sign of a partition that is no proof, such as a call without an answer.
   * @param isUrgent Whether to probe although a connection has been made just before.
   */
  noteSuspicion(service: string, isUrgent = false): void {
    this.reachability.noteSuspicion(service, isUrgent);
    this.update();
  }

  /** Whether probes are on their way, or due, that may show a partition from the service. */
  isUndecided(service: string): boolean {
    return this.reachability.isUndecided(this.opts.clock.steadyMs(), service);
  }

  isReached(service: string): Promise<boolean> {
    if (this.isPartitioned(service)) return Promise.resolve(false);
    return new Promise((resolve) => {
      this.waiters.push({ service, sinceMs: this.opts.clock.steadyMs(), settle: resolve });
      this.reachability.noteSuspicion(service, true);
      this.update();
    });
  }

  outlives(server: BackendServer): Promise<boolean> {
    return new Promise((resolve) => {
      const entry = this.doubtful.get(server.id) ?? { server, settles: [] };
      entry.settles.push(resolve);
      this.doubtful.set(server.id, entry);
      if (!this.isPartitioned(server.service)) this.checkDoubtful(server.service);
    });
  }

  private tick(): void {
    this.opts
      .silentServices(SILENCE_MS)
      .forEach((service) => this.reachability.noteSuspicion(service));
    this.update();
  }

  private update(): void {
    this.reachability.nextProbes(this.opts.clock.steadyMs()).forEach((id) => this.probe(id));
    this.applyChanges();
  }

  private probe(id: string): void {
    const startedAtMs = this.opts.clock.steadyMs();
    void this.connect(this.opts.backends().get(id)?.address ?? '').then((isConnected) => {
      const nowMs = this.opts.clock.steadyMs();
      if (isConnected) this.reachability.noteConnected(nowMs, id);
      else this.reachability.noteConnectFailure(nowMs, id, startedAtMs);
      this.update();
    });
  }

  /** Resolves with whether a connection can be made, which is then closed. */
  private connect(address: string): Promise<boolean> {
    const [host = '', port = '0'] = address.split(':');
    const socket = net.connect({ host, port: Number(port) });
    this.sockets.add(socket);
    return new Promise((resolve) => {
      const settle = (isConnected: boolean) => {
        this.sockets.delete(socket);
        socket.destroy();
        resolve(isConnected);
      };
      // A connection may have been made while this process was busy, and its event not handled yet.
      const timer = setTimeout(() => setImmediate(() => settle(false)), CONNECT_TIMEOUT_MS);
      socket.on('connect', () => settle(true));
      socket.on('error', () => settle(false));
      socket.on('close', () => {
        clearTimeout(timer);
        settle(false);
      });
    });
  }

  private applyChanges(): void {
    this.reachability.takeChanges().forEach(({ service, isPartitioned, sinceMs }) => {
      const forMs = Math.round(this.opts.clock.steadyMs() - sinceMs);
      this.opts.logger.info(isPartitioned ? 'partitioned' : 'partition-over', { service, forMs });
      this.opts.metrics.gauge('relay_partitioned', Number(isPartitioned), { service });
      this.opts.onChange(service, isPartitioned);
      if (!isPartitioned && forMs >= MIN_PARTITION_MS) this.checkDoubtful(service);
      else if (!isPartitioned) this.dismissDoubtful(service);
    });
    this.settleWaiters();
  }

  /** Connects to the servers of a service at which runs were cut off during a partition. */
  private checkDoubtful(service: string): void {
    this.takeDoubtful(service).forEach(({ server, settles }) => {
      void this.connect(server.address).then((isConnected) =>
        settles.forEach((settle) => settle(isConnected)),
      );
    });
  }

  /** Takes servers of a service for ended at which runs were cut off: there was no partition. */
  private dismissDoubtful(service: string): void {
    this.takeDoubtful(service).forEach(({ settles }) => settles.forEach((settle) => settle(false)));
  }

  private takeDoubtful(service: string): readonly DoubtfulServer[] {
    const taken = [...this.doubtful.values()].filter(({ server }) => server.service === service);
    taken.forEach(({ server }) => this.doubtful.delete(server.id));
    return taken;
  }

  private settleWaiters(): void {
    const nowMs = this.opts.clock.steadyMs();
    const { waiters } = this;
    this.waiters = [];
    waiters.forEach((waiter) => {
      const { service, sinceMs, settle } = waiter;
      const isUndecided =
        this.reachability.isUndecided(nowMs, service) &&
        this.reachability.connectedAtMs(service) < sinceMs;
      if (isUndecided && nowMs < sinceMs + MAX_WAIT_MS) this.waiters.push(waiter);
      else settle(!this.isPartitioned(service));
    });
  }
}
