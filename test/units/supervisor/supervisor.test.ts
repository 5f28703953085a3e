/** The supervisor restarts a failed task on its own, with exponential backoff. */
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest';
import { createLogger } from '../../../src/core/logger/index.js';
import { createSupervisor, type Task } from '../../../src/core/supervisor/index.js';

class CountingTask implements Task {
  starts = 0;

  stops = 0;

  fail: (err: unknown) => void = () => undefined;

  constructor(
    readonly name: string,
    private readonly failingStarts = 0,
  ) {}

  async start(fail: (err: unknown) => void): Promise<void> {
    this.starts += 1;
    this.fail = fail;
    if (this.starts <= this.failingStarts) throw new Error('cannot start');
  }

  async stop(): Promise<void> {
    this.stops += 1;
  }
}

describe('the supervisor', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  test('restarts a failed task without affecting the others', async () => {
    const steady = new CountingTask('steady');
    const failing = new CountingTask('failing');
    const supervisor = createSupervisor([steady, failing], createLogger('test', 'silent'));
    await supervisor.start();
    failing.fail(new Error('broken'));
    failing.fail(new Error('broken twice'));
    await vi.advanceTimersByTimeAsync(60_000);
    expect(failing).toMatchObject({ starts: 2, stops: 1 });
    expect(steady).toMatchObject({ starts: 1, stops: 0 });
  });

  test('retries until a task starts', async () => {
    const slow = new CountingTask('slow', 4);
    const supervisor = createSupervisor([slow], createLogger('test', 'silent'));
    await supervisor.start();
    await vi.advanceTimersByTimeAsync(60_000);
    expect(slow.starts).toBe(5);
  });

  test('restarts no task after it has been stopped', async () => {
    const task = new CountingTask('task');
    const supervisor = createSupervisor([task], createLogger('test', 'silent'));
    await supervisor.start();
    await supervisor.stop();
    task.fail(new Error('late'));
    await vi.advanceTimersByTimeAsync(60_000);
    expect(task).toMatchObject({ starts: 1, stops: 1 });
  });
});
