/** Segments that crash servers are refused; those that share requests or servers with them are not. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import {
  type Incident,
  IncidentTable,
  type KnownServers,
  RunProgress,
  segmentFingerprint,
} from '../../../src/decisions/suspects/index.js';

const BASE = segmentFingerprint('base');
const SUBJECT = segmentFingerprint('subject');
const DEAD = segmentFingerprint('dead');
const OTHER = segmentFingerprint('other');
const FIRST_PROBE_MS = 30_000;
const PROVEN_PROBE_MS = 2_000;

interface Crash {
  readonly atMs: number;
  readonly serverId: string;
  readonly request: string;
  readonly segments: readonly string[];
  readonly progress?: RunProgress;
}

function incidentsOf({ serverId, request, segments, progress = RunProgress.begun }: Crash) {
  return segments.map((fingerprint): Incident => {
    const run = { request, segments: [...segments], progress };
    return { fingerprint, serverId, bornMs: 100, run };
  });
}

function noteCrash(table: IncidentTable, crash: Crash): void {
  incidentsOf(crash).forEach((incident) => table.note(crash.atMs, incident));
}

/** A table that has seen enough sound requests to know which segments are new. */
function createTable(): IncidentTable {
  const table = new IncidentTable();
  Array.from({ length: 20 }, () => table.noteCompleted(0, segmentFingerprint('usual')));
  return table;
}

/** A table with one begun run at each of `count` servers, each of another request. */
function tableWithCrashes(count: number, segments: readonly string[]): IncidentTable {
  const table = createTable();
  Array.from({ length: count }, (_, at) =>
    noteCrash(table, { atMs: at, serverId: `s${at}`, request: `r${at}`, segments }),
  );
  return table;
}

describe('a new segment', () => {
  test('is refused after two different requests with it that servers had begun', () => {
    expect(tableWithCrashes(1, [DEAD]).isRefused(10, ['r9', DEAD])).toBe(false);
    expect(tableWithCrashes(2, [DEAD]).isRefused(10, ['r9', DEAD])).toBe(true);
  });

  test('is not refused for the crashes of one request', () => {
    const table = createTable();
    ['a', 'b', 'c', 'd'].forEach((serverId, atMs) =>
      noteCrash(table, { atMs, serverId, request: 'r1', segments: [SUBJECT] }),
    );
    expect(table.isRefused(10, ['r2', SUBJECT])).toBe(false);
  });

  test('is refused after more requests that servers may not have begun', () => {
    const table = createTable();
    const refusals = ['a', 'b', 'c', 'd'].map((serverId, atMs) => {
      const progress = RunProgress.unclear;
      noteCrash(table, { atMs, serverId, request: `r${atMs}`, segments: [DEAD], progress });
      return table.isRefused(atMs, [DEAD]);
    });
    expect(refusals).toEqual([false, false, false, true]);
  });

  test('counts abandoned runs only at servers that have crashed', () => {
    const table = createTable();
    const serverIds = ['a', 'b', 'c', 'd'];
    serverIds.forEach((serverId, atMs) => {
      const progress = RunProgress.abandoned;
      noteCrash(table, { atMs, serverId, request: `r${atMs}`, segments: [DEAD], progress });
    });
    expect(table.isRefused(10, [DEAD])).toBe(false);
    serverIds.forEach((serverId) => {
      const progress = RunProgress.unclear;
      noteCrash(table, { atMs: 10, serverId, request: 'beside', segments: [OTHER], progress });
    });
    expect(table.isRefused(10, [DEAD])).toBe(true);
  });

  test('takes the strongest evidence of each server', () => {
    const table = createTable();
    ['a', 'b'].forEach((serverId) => {
      const crash = { atMs: 0, serverId, request: serverId, segments: [DEAD] };
      noteCrash(table, { ...crash, progress: RunProgress.abandoned });
      noteCrash(table, crash);
      noteCrash(table, { ...crash, progress: RunProgress.unclear });
    });
    expect(table.isRefused(10, [DEAD])).toBe(true);
  });
});

describe('a request that a server had begun before it crashed', () => {
  const crash = { atMs: 0, serverId: 'a', request: 'r1', segments: [SUBJECT] };

  test('is refused while its segment was never proven; other requests are not', () => {
    const table = createTable();
    noteCrash(table, crash);
    expect(table.isRefused(10, ['r1', SUBJECT])).toBe(true);
    expect(table.isRefused(10, ['r2', SUBJECT])).toBe(false);
    expect(table.shared(10)).toHaveLength(1);
    table.noteCompleted(20, SUBJECT);
    expect(table.isRefused(20, ['r1', SUBJECT])).toBe(false);
  });

  test('is not refused if its segment was proven before, or if it may not have been begun', () => {
    const proven = createTable();
    proven.noteCompleted(0, SUBJECT);
    noteCrash(proven, { ...crash, atMs: 1 });
    expect(proven.isRefused(10, ['r1', SUBJECT])).toBe(false);
    const unclear = createTable();
    noteCrash(unclear, { ...crash, progress: RunProgress.unclear });
    expect(unclear.isRefused(10, ['r1', SUBJECT])).toBe(false);
  });
});

describe('an entry VM that was just started', () => {
  test('needs three requests against any segment, and probes it soon', () => {
    const table = new IncidentTable();
    const refusals = [1, 2, 3].map((atMs) => {
      noteCrash(table, { atMs, serverId: `s${atMs}`, request: `r${atMs}`, segments: [BASE] });
      return table.isRefused(atMs, [BASE]);
    });
    expect(refusals).toEqual([false, false, true]);
    expect(table.takeProbe(3 + PROVEN_PROBE_MS, [BASE])).toBe(true);
  });

  test('does not refuse sound requests that broke off beside those with a crashing segment', () => {
    const table = new IncidentTable();
    [1, 2, 3].forEach((atMs) => {
      const serverId = `s${atMs}`;
      const segments = [BASE, SUBJECT];
      const progress = RunProgress.unclear;
      noteCrash(table, { atMs, serverId, request: `a${atMs}`, segments, progress });
      noteCrash(table, { atMs, serverId, request: `b${atMs}`, segments: [...segments, DEAD] });
    });
    expect(table.isRefused(10, [BASE, SUBJECT])).toBe(false);
    expect(table.isRefused(10, [BASE, SUBJECT, DEAD])).toBe(true);
  });
});

describe('segments of sound requests that break off in every crash under another segment', () => {
  /** Crashes at `count` servers, each of a run with the dead segment and of a sound one. */
  function tableWithNeighbours(count: number): IncidentTable {
    const table = new IncidentTable();
    const progress = RunProgress.unclear;
    Array.from({ length: count }, (_, at) => {
      const crash = { atMs: at, serverId: `s${at}`, progress };
      noteCrash(table, { ...crash, request: `sound${at}`, segments: [BASE, SUBJECT] });
      noteCrash(table, { ...crash, request: `dead${at}`, segments: [BASE, SUBJECT, DEAD] });
      return table;
    });
    return table;
  }

  test('are not refused without it', () => {
    const table = tableWithNeighbours(6);
    expect(table.isRefused(10, [BASE, SUBJECT, DEAD])).toBe(true);
    expect(table.isRefused(10, [BASE, SUBJECT])).toBe(false);
  });

  test('are refused if as many servers crash without it', () => {
    const table = tableWithNeighbours(6);
    Array.from({ length: 5 }, (_, at) =>
      noteCrash(table, {
        atMs: 10 + at,
        serverId: `t${at}`,
        request: `t${at}`,
        segments: [BASE, SUBJECT],
        progress: RunProgress.unclear,
      }),
    );
    expect(table.isRefused(20, [BASE, SUBJECT])).toBe(true);
  });

  test('are probed by a request without it', () => {
    const table = tableWithNeighbours(6);
    const begun = { request: 't', segments: [BASE, SUBJECT] };
    [1, 2, 3].forEach((at) =>
      noteCrash(table, { ...begun, atMs: 10, serverId: `t${at}`, request: `t${at}` }),
    );
    const laterMs = 600_000 - 1_000;
    expect(table.isRefused(laterMs, [BASE, SUBJECT])).toBe(true);
    expect(table.takeProbe(laterMs, [BASE, SUBJECT, DEAD])).toBe(false);
    expect(table.takeProbe(laterMs, [BASE, SUBJECT])).toBe(true);
  });
});

describe('a segment that was proven before', () => {
  test('is refused after three requests', () => {
    const table = createTable();
    table.noteCompleted(0, DEAD);
    const refusals = [1, 2, 3].map((atMs) => {
      noteCrash(table, { atMs, serverId: `s${atMs}`, request: `r${atMs}`, segments: [DEAD] });
      return table.isRefused(atMs, [DEAD]);
    });
    expect(refusals).toEqual([false, false, true]);
  });

  test('is accepted at once after a request with it has run', () => {
    const table = tableWithCrashes(3, [BASE, DEAD]);
    table.noteCompleted(10, BASE);
    expect(table.isRefused(10, [BASE])).toBe(false);
    expect(table.isRefused(10, [BASE, DEAD])).toBe(true);
  });
});

describe('segments that were in the same requests', () => {
  test('are refused only together', () => {
    const table = tableWithCrashes(2, [SUBJECT, DEAD]);
    expect(table.suspectedWith(10, DEAD)).toEqual([SUBJECT, DEAD]);
    expect(table.isRefused(10, [SUBJECT, DEAD, OTHER])).toBe(true);
    expect(table.isRefused(10, [SUBJECT])).toBe(false);
    expect(table.isRefused(10, [DEAD, OTHER])).toBe(false);
  });

  test('are refused alone once the others are proven', () => {
    const table = tableWithCrashes(2, [SUBJECT, DEAD]);
    table.noteCompleted(10, SUBJECT);
    expect(table.isRefused(10, [DEAD, OTHER])).toBe(true);
  });

  test('are refused alone once they crash a server without the others', () => {
    const table = tableWithCrashes(2, [SUBJECT, DEAD]);
    noteCrash(table, { atMs: 10, serverId: 'x', request: 'x', segments: [DEAD, OTHER] });
    expect(table.isRefused(10, [DEAD])).toBe(true);
    expect(table.isRefused(10, [SUBJECT, OTHER])).toBe(false);
  });
});

describe('a refused segment', () => {
  test('is probed by one request at a time, at growing intervals', () => {
    const table = tableWithCrashes(2, [DEAD]);
    expect(table.takeProbe(FIRST_PROBE_MS, [DEAD])).toBe(false);
    expect(table.takeProbe(FIRST_PROBE_MS + 1, [DEAD])).toBe(true);
    expect(table.takeProbe(FIRST_PROBE_MS + 2, [DEAD])).toBe(false);
    const crashedAtMs = FIRST_PROBE_MS + 100;
    noteCrash(table, { atMs: crashedAtMs, serverId: 'x', request: 'x', segments: [DEAD] });
    expect(table.retryAfterMs(crashedAtMs, [DEAD])).toBe(4 * FIRST_PROBE_MS);
    expect(table.takeProbe(crashedAtMs + 4 * FIRST_PROBE_MS - 1, [DEAD])).toBe(false);
    expect(table.takeProbe(crashedAtMs + 4 * FIRST_PROBE_MS, [DEAD])).toBe(true);
  });

  test('is probed soon if it was proven before', () => {
    const table = createTable();
    table.noteCompleted(0, DEAD);
    [1, 2, 3].forEach((atMs) =>
      noteCrash(table, { atMs, serverId: `s${atMs}`, request: `r${atMs}`, segments: [DEAD] }),
    );
    expect(table.takeProbe(3 + PROVEN_PROBE_MS, [DEAD])).toBe(true);
  });

  test('does not let a request probe that is refused for its own crashes', () => {
    const table = tableWithCrashes(2, [DEAD]);
    ['a', 'b', 'c'].forEach((serverId) =>
      table.note(1, { fingerprint: 'f', serverId, bornMs: 100 }),
    );
    expect(table.takeProbe(4 * FIRST_PROBE_MS, ['f', DEAD])).toBe(false);
  });

  test('is accepted once its servers are seen to have kept running', () => {
    const table = tableWithCrashes(2, [DEAD]);
    const running: KnownServers = {
      servers: new Map(['s0', 's1'].map((id) => [id, { bornMs: 100, leaving: false }])),
      missing: new Set(),
      confirmedAtMs: 7_000,
      confirmedSinceMs: 0,
    };
    table.resolve(7_000, running);
    expect(table.isRefused(7_000, [DEAD])).toBe(false);
  });

  test('stays refused when many other incidents fill the table', () => {
    const table = tableWithCrashes(2, [DEAD]);
    Array.from({ length: 10_000 }, (_, at) =>
      table.note(100, { fingerprint: `f${at}`, serverId: 'x', bornMs: 100 }),
    );
    expect(table.isRefused(200, [DEAD])).toBe(true);
  });

  test('counts a crash at a server where an earlier incident was cleared', () => {
    const table = createTable();
    noteCrash(table, { atMs: 0, serverId: 'a', request: 'r1', segments: [DEAD] });
    table.noteCompleted(100, DEAD);
    noteCrash(table, { atMs: 5_000, serverId: 'a', request: 'r2', segments: [DEAD] });
    expect(table.count(5_000, DEAD)).toBe(1);
  });
});

/** A run at the moment of a crash: sound unless it has the dead segment. */
const neighbour = fc.record({
  subject: fc.integer({ min: 0, max: 30 }),
  progress: fc.constantFrom(RunProgress.unclear, RunProgress.begun, RunProgress.abandoned),
});

describe('crashes under requests with one segment, beside sound runs', () => {
  test('end after a few, and no sound request is refused once the others have run', () => {
    fc.assert(
      fc.property(
        fc.array(fc.array(neighbour, { maxLength: 12 }), { minLength: 8, maxLength: 8 }),
        fc.infiniteStream(fc.integer({ min: 0, max: 30 })),
        (neighbours, subjects) => {
          const table = createTable();
          const segmentsOf = (subject: number) => [BASE, segmentFingerprint(`s${subject}`)];
          let crashes = 0;
          neighbours.forEach((beside, at) => {
            const atMs = at * 1_000;
            const serverId = `s${at}`;
            const segments = [...segmentsOf(subjects.next().value), DEAD];
            if (table.isRefused(atMs, segments)) return;
            crashes += 1;
            noteCrash(table, { atMs, serverId, request: `dead${at}`, segments });
            beside.forEach(({ subject, progress }, index) => {
              const request = `sound${at}-${index}`;
              noteCrash(table, {
                atMs,
                serverId,
                request,
                segments: segmentsOf(subject),
                progress,
              });
            });
            // The sound requests run elsewhere.
            beside.forEach(({ subject }) =>
              segmentsOf(subject).forEach((one) => table.noteCompleted(atMs + 500, one)),
            );
          });
          expect(crashes).toBeLessThanOrEqual(5);
          const isSoundRefused = neighbours
            .flat()
            .some(({ subject }) => table.isRefused(8_000, segmentsOf(subject)));
          expect(isSoundRefused).toBe(false);
        },
      ),
      { numRuns: 300, seed: 26 },
    );
  });
});
