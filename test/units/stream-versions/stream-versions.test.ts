/** Which software version may resume a stream, from recent streams and the servers that were listed. */
import { describe, expect, test } from 'vitest';
import { STREAM_TTL_MS, StreamVersions } from '../../../src/decisions/stream-versions/index.js';

const server = (version: string, service = 'drafting') => ({ service, version });
const begun = (id: string, version: string, atMs = 0) => ({
  id,
  service: 'drafting',
  version,
  atMs,
});

describe('the versions of streams', () => {
  test('are those of the servers that are listed or were listed recently', () => {
    const streams = new StreamVersions();
    streams.noteServers(0, [server('v1'), server('v1')]);
    expect(streams.versionsOf(0, 'drafting')).toEqual(['v1']);
    expect(streams.isMixed(0)).toBe(false);
    streams.noteServers(1_000, [server('v1'), server('v2')]);
    expect([...streams.versionsOf(1_000, 'drafting')].sort()).toEqual(['v1', 'v2']);
    streams.noteServers(60_000, [server('v2')]);
    expect(streams.isMixed(60_000 + STREAM_TTL_MS)).toBe(true);
    expect(streams.versionsOf(60_001 + STREAM_TTL_MS, 'drafting')).toEqual(['v2']);
  });

  test('of different services do not count as mixed', () => {
    const streams = new StreamVersions();
    streams.noteServers(0, [server('v1'), server('v2', 'desk')]);
    expect(streams.isMixed(0)).toBe(false);
  });

  test('are kept as first noted, until callers no longer resume the streams', () => {
    const streams = new StreamVersions();
    expect(streams.noteBegun(begun('s1', 'v1'))).toBe(true);
    expect(streams.noteBegun(begun('s1', 'v2'))).toBe(false);
    expect(streams.find('s1')?.version).toBe('v1');
    expect(streams.recentStreams(STREAM_TTL_MS)).toHaveLength(1);
    expect(streams.recentStreams(STREAM_TTL_MS + 1)).toHaveLength(0);
    expect(streams.find('s1')).toBeUndefined();
  });

  test('are forgotten as others begin, so that a VM holds few of them', () => {
    const streams = new StreamVersions();
    streams.noteBegun(begun('s1', 'v1'));
    streams.noteBegun(begun('s2', 'v1', STREAM_TTL_MS));
    expect(streams.find('s1')).toBeDefined();
    streams.noteBegun(begun('s3', 'v1', STREAM_TTL_MS + 1));
    expect(streams.find('s1')).toBeUndefined();
    expect(streams.find('s2')).toBeDefined();
  });

  test('include a version that is known only from a stream', () => {
    const streams = new StreamVersions();
    streams.noteServers(0, [server('v2')]);
    streams.noteBegun(begun('s1', 'v1'));
    expect(streams.isMixed(0)).toBe(true);
  });
});
