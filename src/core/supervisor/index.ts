/** A supervisor tree: a task that throws is started again, after a growing pause. */
import * as errors from '../errors/index.js';
import type { Logger } from '../logger/index.js';

const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 5_000;
/** A task that ran this long counts as healthy, and its pause starts anew. */
const HEALTHY_AFTER_MS = 30_000;

/** A part of the daemon that owns its sockets and its state. */
export interface Task {
  readonly name: string;
  /** Starts the task. It calls `fail` when it cannot go on; the supervisor then starts it again. */
  start(fail: (err: unknown) => void): Promise<void>;
  /** Frees all that the task holds; called before each restart and at the end. */
  stop(): Promise<void>;
}

export interface Supervisor {
  start(): Promise<void>;
  /** Stops the tasks in the reverse order of their start. */
  stop(): Promise<void>;
}

class OneForOneSupervisor implements Supervisor {
  private stopping = false;

  private readonly pausesMs = new Map<string, number>();

  constructor(
    private readonly tasks: readonly Task[],
    private readonly logger: Logger,
  ) {}

  async start(): Promise<void> {
    await this.tasks.reduce((before, task) => before.then(() => this.run(task)), Promise.resolve());
  }

  async stop(): Promise<void> {
    this.stopping = true;
    await [...this.tasks]
      .reverse()
      .reduce((before, task) => before.then(() => task.stop()), Promise.resolve());
  }

  private async run(task: Task): Promise<void> {
    const startedAt = performance.now();
    let failed = false;
    const fail = (err: unknown): void => {
      if (failed || this.stopping) return;
      failed = true;
      const ranMs = performance.now() - startedAt;
      this.restartLater(task, err, ranMs);
    };
    try {
      await task.start(fail);
    } catch (err) {
      fail(err);
    }
  }

  private restartLater(task: Task, err: unknown, ranMs: number): void {
    const earlierMs = this.pausesMs.get(task.name) ?? 0;
    const pauseMs =
      ranMs > HEALTHY_AFTER_MS || earlierMs === 0
        ? FIRST_PAUSE_MS
        : Math.min(LONGEST_PAUSE_MS, earlierMs * 2);
    this.pausesMs.set(task.name, pauseMs);
    this.logger.error('task-failed', { task: task.name, reason: errors.describe(err), pauseMs });
    setTimeout(() => {
      void this.restart(task);
    }, pauseMs).unref();
  }

  private async restart(task: Task): Promise<void> {
    await task.stop().catch(() => undefined);
    if (!this.stopping) await this.run(task);
  }
}

/** Creates a supervisor that restarts each of `tasks` alone. */
export function createSupervisor(tasks: readonly Task[], logger: Logger): Supervisor {
  return new OneForOneSupervisor(tasks, logger);
}
