/** What an operator sees of loans: counts, reply times, and a log line while replies are slow. */
import { expect, test, vi } from 'vitest';
import { createLogger } from '../../../src/core/logger/index.js';
import { createMetrics } from '../../../src/core/metrics/index.js';
import { LoanMetrics } from '../../../src/entry/relay/loan-observer.js';

test('counts loans by customer and logs slow replies at most once a second', () => {
  const metrics = createMetrics();
  const warn = vi.fn();
  const observer = new LoanMetrics(metrics, { ...createLogger('test', 'silent'), warn });
  const reply = { customer: 'acme', units: 5, tookMs: 100, queuedMs: 20, isLate: true };
  observer.asked('acme', false);
  observer.asked('acme', true);
  observer.replied(0, reply);
  observer.replied(999, { ...reply, units: 0, tookMs: 300 });
  observer.replied(1_000, { ...reply, tookMs: 2, isLate: false });
  observer.replied(1_500, reply);
  const lines = metrics.render();
  [
    ['asked', 2],
    ['repeated', 1],
    ['granted', 3],
    ['refused', 1],
    ['late', 3],
  ].forEach(([name, count]) => {
    expect(lines).toContain(`relay_loans_${name}_total{customer="acme"} ${count}`);
  });
  expect(lines).toContain('relay_loan_reply_seconds_count 4');
  expect(lines).toContain('relay_loan_queued_seconds_count 4');
  expect(warn.mock.calls).toEqual([
    ['loan-replies-slow', { replies: 1, late: 1, maxMs: 100 }],
    ['loan-replies-slow', { replies: 2, late: 2, maxMs: 300 }],
  ]);
});
