/** The record of incidents in the platform's store, which survives the exit of all entry VMs. */
import { describe, expect, test } from 'vitest';
import {
  IncidentTable,
  type Incident,
  RunProgress,
  segmentFingerprint,
} from '../../../src/decisions/suspects/index.js';
import { IncidentRecordTask, INCIDENTS_KEY } from '../../../src/entry/relay/incident-record.js';
import {
  PlatformOutcome,
  type StoredObject,
  type WriteOutcome,
} from '../../../src/entry/platform/index.js';
import { createLogger } from '../../../src/core/logger/index.js';

/** Longer than the pause between calls and than the read interval of a VM without a steward. */
const STEP_MS = 1_100;

const incident = (serverId: string, fingerprint = 'f'): Incident => ({
  fingerprint,
  serverId,
  bornMs: 1,
});

class FakeStore {
  readonly era = 0;

  object: StoredObject | null = null;

  calls = 0;

  losesAnswers = false;

  isDown = false;

  async read() {
    this.calls += 1;
    if (this.isDown) return { type: PlatformOutcome.unknown, reason: 'down' } as const;
    return { type: PlatformOutcome.ok, value: this.object } as const;
  }

  async write(key: string, value: unknown, version: number): Promise<WriteOutcome> {
    this.calls += 1;
    expect(key).toBe(INCIDENTS_KEY);
    if (this.isDown) return { type: PlatformOutcome.unknown, reason: 'down' };
    if (version !== (this.object?.version ?? 0)) return { type: PlatformOutcome.conflict };
    this.object = { version: version + 1, value };
    if (this.losesAnswers) return { type: PlatformOutcome.unknown, reason: 'lost' };
    return { type: PlatformOutcome.ok, version: version + 1 };
  }

  get servers(): readonly string[] {
    const record = this.object?.value as { incidents: readonly Incident[] } | undefined;
    return (record?.incidents ?? []).map(({ serverId }) => serverId).sort();
  }
}

/** The incident table and record of one entry VM, with a clock that the test advances. */
function createVm(store: FakeStore, role: { steward: boolean; connected: boolean }) {
  const table = new IncidentTable();
  let nowMs = 0;
  const record = new IncidentRecordTask({
    store,
    clock: { steadyMs: () => nowMs, nowMs: () => nowMs, onJump: () => undefined },
    logger: createLogger('test', 'silent'),
    incidents: {
      get sharedVersion() {
        return table.sharedVersion;
      },
      get size() {
        return table.size;
      },
      shared: () => table.shared(nowMs),
      noteStored: (stored) =>
        stored.forEach(({ ageMs, ...noted }) => table.note(nowMs, noted, ageMs)),
    },
    isSteward: () => role.steward,
    isStewardConnected: () => role.connected,
    unixMs: () => 1_000_000 + nowMs,
  });
  const steps = async (count: number) => {
    for (let at = 0; at < count; at += 1) {
      nowMs += STEP_MS;
      await record.tick();
    }
  };
  const observe = (...servers: readonly string[]) =>
    servers.forEach((id) => table.note(nowMs, incident(id)));
  return { table, record, steps, observe, nowMs: () => nowMs };
}

const STEWARD = { steward: true, connected: true };
const MEMBER = { steward: false, connected: true };
const DISCONNECTED = { steward: false, connected: false };

describe('the record of the incidents of a request', () => {
  test('is read by an entry VM that starts after all others have exited', async () => {
    const store = new FakeStore();
    const before = createVm(store, STEWARD);
    before.observe('a', 'b', 'c');
    await before.steps(3);
    const after = createVm(store, DISCONNECTED);
    expect(after.record.isLoaded).toBe(false);
    await after.steps(1);
    expect(after.record.isLoaded).toBe(true);
    expect(after.table.isRefused(after.nowMs(), ['f'])).toBe(true);
  });

  test('is not written by other entry VMs while the steward is connected', async () => {
    const store = new FakeStore();
    const member = createVm(store, MEMBER);
    member.observe('a', 'b');
    await member.steps(4);
    expect(store.servers).toEqual([]);
    expect(store.calls).toBe(1);
  });

  test('causes no store call while no request has several incidents', async () => {
    const store = new FakeStore();
    const steward = createVm(store, STEWARD);
    await steward.steps(1);
    steward.observe('a');
    await steward.steps(5);
    expect(store.calls).toBe(1);
  });

  test('causes no store call while nothing changes', async () => {
    const store = new FakeStore();
    const steward = createVm(store, STEWARD);
    steward.observe('a', 'b');
    await steward.steps(2);
    const { calls } = store;
    await steward.steps(10);
    expect(store.calls).toBe(calls);
  });

  test('is merged if two VMs without a steward write it', async () => {
    const store = new FakeStore();
    const one = createVm(store, DISCONNECTED);
    const two = createVm(store, DISCONNECTED);
    await Promise.all([one.steps(1), two.steps(1)]);
    one.observe('a', 'b');
    two.observe('c', 'd');
    for (let at = 0; at < 4; at += 1) {
      await one.steps(1);
      await two.steps(1);
    }
    expect(store.servers).toEqual(['a', 'b', 'c', 'd']);
    expect(one.table.count(one.nowMs(), 'f')).toBe(4);
  });

  test('is written only once if the answer to the write was lost', async () => {
    const store = new FakeStore();
    const steward = createVm(store, STEWARD);
    await steward.steps(1);
    steward.observe('a', 'b');
    store.losesAnswers = true;
    await steward.steps(1);
    store.losesAnswers = false;
    await steward.steps(4);
    expect(store.object?.version).toBe(1);
    expect(store.servers).toEqual(['a', 'b']);
  });

  test('is written after an outage of the store, during which the request stays refused', async () => {
    const store = new FakeStore();
    const steward = createVm(store, STEWARD);
    await steward.steps(1);
    store.isDown = true;
    steward.observe('a', 'b', 'c');
    await steward.steps(3);
    expect(steward.table.isRefused(steward.nowMs(), ['f'])).toBe(true);
    store.isDown = false;
    await steward.steps(3);
    expect(store.servers).toEqual(['a', 'b', 'c']);
  });

  test('loses its incidents when the request is cleared', async () => {
    const store = new FakeStore();
    const steward = createVm(store, STEWARD);
    steward.observe('a', 'b');
    await steward.steps(2);
    expect(store.servers).toEqual(['a', 'b']);
    steward.table.noteCompleted(steward.nowMs(), 'f');
    await steward.steps(2);
    expect(store.servers).toEqual([]);
  });

  test('stays below the value limit of the store and keeps the newest incidents', async () => {
    const store = new FakeStore();
    const steward = createVm(store, { steward: true, connected: true });
    const segmentsOf = (at: number) =>
      Array.from({ length: 16 }, (_, index) =>
        segmentFingerprint(`${index}-${at}`.padEnd(32, 'x')),
      );
    Array.from({ length: 3_000 }, (_, at) => {
      const run = { request: `r${at}`, segments: segmentsOf(at), progress: RunProgress.begun };
      const noted = { fingerprint: segmentFingerprint(`s${at}`), serverId: `s${at}`, bornMs: 1 };
      return steward.table.note(at, { ...noted, run });
    });
    await steward.steps(10);
    expect(JSON.stringify(store.object?.value).length).toBeLessThan(1_048_576);
    expect(store.servers).toContain('s2999');
    expect(store.servers).not.toContain('s0');
    const { calls } = store;
    await steward.steps(10);
    expect(store.calls).toBe(calls);
  });

  test('replaces a record that cannot be decoded', async () => {
    const store = new FakeStore();
    store.object = { version: 3, value: 'nonsense' };
    const steward = createVm(store, STEWARD);
    steward.observe('a', 'b');
    await steward.steps(3);
    expect(store.servers).toEqual(['a', 'b']);
  });
});
