/** One-for-one supervisor: restarts a failed task after an exponential backoff. */
import * as errors from '../errors/index.js';
import type { Logger } from '../logger/index.js';

const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 5_000;
/** A task that has run for longer restarts with the initial backoff. */
const BACKOFF_RESET_AFTER_MS = 30_000;

/** A part of the daemon that owns its sockets and state and can be restarted on its own. */
export interface Task {
  readonly name: string;
  /** Starts the task. It calls `fail` if it cannot continue; the supervisor then restarts it. */
  start(fail: (err: unknown) => void): Promise<void>;
  /** Releases the task's resources; called before each restart and on shutdown. */
  stop(): Promise<void>;
}

export interface Supervisor {
  start(): Promise<void>;
  /** Stops the tasks in reverse start order. */
  stop(): Promise<void>;
}

class OneForOneSupervisor implements Supervisor {
  private stopping = false;

  private readonly backoffsMs = new Map<string, number>();

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
    const previousMs = this.backoffsMs.get(task.name) ?? 0;
    const backoffMs =
      ranMs > BACKOFF_RESET_AFTER_MS || previousMs === 0
        ? INITIAL_BACKOFF_MS
        : Math.min(MAX_BACKOFF_MS, previousMs * 2);
    this.backoffsMs.set(task.name, backoffMs);
    this.logger.error('task-failed', {
      task: task.name,
      reason: errors.describe(err),
      pauseMs: backoffMs,
    });
    setTimeout(() => {
      void this.restart(task);
    }, backoffMs).unref();
  }

  private async restart(task: Task): Promise<void> {
    await task.stop().catch(() => undefined);
    if (!this.stopping) await this.run(task);
  }
}

/** Creates a supervisor that restarts each of `tasks` without affecting the others. */
export function createSupervisor(tasks: readonly Task[], logger: Logger): Supervisor {
  return new OneForOneSupervisor(tasks, logger);
}
