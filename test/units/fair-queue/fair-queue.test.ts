/** Fairness between customers, order within a customer, and expired requests. */
import { describe, expect, test } from 'vitest';
import { FairQueue, type QueuedRequest } from '../../../src/decisions/fair-queue/index.js';
import { FifoQueue } from '../../../src/lab/naive/index.js';

function requestOf(
  id: string,
  customer: string,
  change: Partial<QueuedRequest> = {},
): QueuedRequest {
  const request = { id, customer, target: 'm', lane: 'm', cost: 100, weight: 1 };
  return { ...request, deadlineAtMs: 1_000, arrivedAtMs: 0, ...change };
}

const always = () => true;

function takeAll(queue: FairQueue | FifoQueue, count: number): readonly string[] {
  return Array.from({ length: count }, () => queue.take(always)?.customer ?? '');
}

describe('FairQueue', () => {
  test('serves a small customer during a burst of a large one, unlike a FIFO queue', () => {
    const countSmallServed = (queue: FairQueue | FifoQueue) => {
      Array.from({ length: 50 }).forEach((_, index) => {
        queue.push(requestOf(`large-${index}`, 'large'));
      });
      queue.push(requestOf('small-0', 'small'));
      queue.push(requestOf('small-1', 'small'));
      return takeAll(queue, 5).filter((customer) => customer === 'small').length;
    };
    expect(countSmallServed(new FairQueue())).toBe(2);
    expect(countSmallServed(new FifoQueue())).toBe(0);
  });

  test('divides service by weight', () => {
    const queue = new FairQueue();
    Array.from({ length: 40 }).forEach((_, index) => {
      queue.push(requestOf(`a-${index}`, 'a', { weight: 3 }));
      queue.push(requestOf(`b-${index}`, 'b'));
    });
    const taken = takeAll(queue, 40);
    expect(taken.filter((customer) => customer === 'a')).toHaveLength(30);
  });

  test('gives a customer no credit for time without requests', () => {
    const queue = new FairQueue();
    Array.from({ length: 20 }).forEach((_, index) => queue.push(requestOf(`a-${index}`, 'a')));
    takeAll(queue, 10);
    Array.from({ length: 20 }).forEach((_, index) => queue.push(requestOf(`b-${index}`, 'b')));
    expect(takeAll(queue, 10).filter((customer) => customer === 'b').length).toBeLessThan(7);
  });

  test('takes the earliest deadline of a customer first, only from lanes that can run', () => {
    const queue = new FairQueue();
    queue.push(requestOf('late', 'a', { deadlineAtMs: 900 }));
    queue.push(requestOf('soon', 'a', { deadlineAtMs: 100 }));
    queue.push(requestOf('blocked', 'a', { deadlineAtMs: 1, lane: 'cold' }));
    const ids = [1, 2, 3].map(() => queue.take((lane) => lane === 'm')?.id ?? null);
    expect(ids).toEqual(['soon', 'late', null]);
    expect(queue.takeExpired(1).map(({ id }) => id)).toEqual(['blocked']);
    expect(queue.size).toBe(0);
  });
});
