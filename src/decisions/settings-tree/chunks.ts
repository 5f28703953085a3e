/**
 * Splits a tree into content-addressed chunks, so that an edit rewrites only the changed chunks.
 */
import { createHash } from 'node:crypto';
import { Result } from 'true-myth';
import * as errors from '../../core/errors/index.js';
import { nodeSchema, type NodeValues, type Tree, type TreeChunk } from './types.js';

/** Maximum number of chunks for each top-level section of the tree. */
const BUCKETS_PER_SECTION = 16;

/** SHA-256 of `text` in hexadecimal. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Name of the chunk that contains the node at `path`. */
export function chunkNameOf(path: string): string {
  const section = path.split('/')[1] ?? '';
  if (section === '') return 'root';
  const bucket = parseInt(sha256(path).slice(0, 4), 16) % BUCKETS_PER_SECTION;
  return `${section}-${bucket}`;
}

/** Splits `nodes` into chunks. The nodes within a chunk are ordered by path. */
export function toChunks(nodes: Tree['nodes']): readonly TreeChunk[] {
  const groups = new Map<string, [string, NodeValues][]>();
  [...nodes]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .forEach(([path, values]) => {
      const name = chunkNameOf(path);
      groups.set(name, [...(groups.get(name) ?? []), [path, values]]);
    });
  return [...groups].map(([name, entries]) => {
    const text = JSON.stringify(entries);
    return { name, hash: sha256(text), text };
  });
}

/** Nodes of one chunk, as pairs of path and values. */
export type ChunkNodes = readonly (readonly [string, NodeValues])[];

/** Parses and validates the text of a chunk. */
export function parseChunk(text: string): Result<ChunkNodes, errors.Failure> {
  try {
    const entries = JSON.parse(text) as [string, unknown][];
    return Result.ok(entries.map(([path, values]) => [path, nodeSchema.parse(values)]));
  } catch (err) {
    const detail = errors.describe(err);
    return Result.err(
      errors.createFailure(errors.data.InvalidSettings, 'read tree', 'platform', detail),
    );
  }
}

export function fromChunks(revision: number, chunks: readonly ChunkNodes[]): Tree {
  return { revision, nodes: new Map(chunks.flat()) };
}
