/** The settings tree in the platform store: one root object and immutable chunks. */
import { Result } from 'true-myth';
import * as errors from '../../core/errors/index.js';
import * as settingsTree from '../../decisions/settings-tree/index.js';
import * as storeVersions from '../../decisions/store-versions/index.js';
import { type PlatformClient, PlatformOutcome } from '../platform/index.js';

export const ROOT_KEY = 'settings/root';
const CHUNK_PREFIX = 'settings/chunks/';
const MAX_RECORDED_EDITS = 64;
const MAX_ATTEMPTS = 8;

/** A stored revision, with the version of its root object for conditional updates. */
export interface StoredTree {
  readonly tree: settingsTree.Tree;
  readonly root: settingsTree.TreeRoot;
  readonly version: number;
}

const EMPTY_ROOT: settingsTree.TreeRoot = { revision: 0, chunks: {}, edits: [] };

function platformFailure(step: string, detail: string): errors.Failure {
  return errors.createFailure(errors.data.PlatformDown, step, 'platform', detail);
}

/** Reads and edits the tree. Chunks are cached, since they are immutable. */
export class TreeStore {
  /** Texts of the cached chunks by hash. */
  private readonly texts = new Map<string, string>();

  /** Validated contents of the cached chunks by hash. */
  private readonly parsed = new Map<string, settingsTree.ChunkNodes>();

  constructor(private readonly platform: PlatformClient) {}

  /** Caches chunk texts by hash; texts that do not match their hash are ignored. */
  addChunks(chunks: ReadonlyMap<string, string>): void {
    chunks.forEach((text, hash) => {
      if (settingsTree.sha256(text) === hash) this.texts.set(hash, text);
    });
  }

  /** Returns the cached text of a chunk. */
  textOf(hash: string): string | undefined {
    return this.texts.get(hash);
  }

  /** Removes chunks that `root` does not list from the cache. */
  retain(root: settingsTree.TreeRoot): void {
    const listed = new Set(Object.values(root.chunks));
    [...this.texts.keys()]
      .filter((hash) => !listed.has(hash))
      .forEach((hash) => {
        this.texts.delete(hash);
        this.parsed.delete(hash);
      });
  }

  async read(): Promise<Result<StoredTree, errors.Failure>> {
    const outcome = await this.platform.read(ROOT_KEY);
    if (outcome.type !== PlatformOutcome.ok) {
      return Result.err(platformFailure('read tree', outcome.reason));
    }
    const root = (outcome.value?.value ?? EMPTY_ROOT) as settingsTree.TreeRoot;
    return this.assemble(root, outcome.value?.version ?? 0);
  }

  /** Reads the chunks that `root` lists and assembles the tree. */
  async assemble(
    root: settingsTree.TreeRoot,
    version: number,
  ): Promise<Result<StoredTree, errors.Failure>> {
    const hashes = Object.values(root.chunks);
    const chunks = await Promise.all(hashes.map((hash) => this.nodesOf(hash)));
    const failed = chunks.find((chunk) => chunk.isErr);
    if (failed?.isErr === true) return Result.err(failed.error);
    const nodes = chunks.flatMap((chunk) => (chunk.isOk ? [chunk.value] : []));
    return Result.ok({ tree: settingsTree.fromChunks(root.revision, nodes), root, version });
  }

  /** Returns the validated content of a chunk, which is read and validated only once. */
  private async nodesOf(hash: string): Promise<Result<settingsTree.ChunkNodes, errors.Failure>> {
    const cached = this.parsed.get(hash);
    if (cached !== undefined) return Result.ok(cached);
    const text = await this.chunk(hash);
    if (text === null) {
      return Result.err(platformFailure('read tree', `chunk ${hash} cannot be read`));
    }
    const parsed = settingsTree.parseChunk(text);
    if (parsed.isOk) this.parsed.set(hash, parsed.value);
    return parsed;
  }

  /**
   * Applies edits to the latest revision, and retries if another revision is stored concurrently.
   *
   * Fails with a conflict if one of the nodes has changed since `base`. An edit with an `editId`
   * that has been stored already, by a write whose response was lost, is not applied again.
   */
  async edit(
    edits: readonly settingsTree.NodeEdit[],
    editId: string,
    base: settingsTree.Tree | null,
  ): Promise<Result<StoredTree, errors.Failure>> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const stored = await this.read();
      if (stored.isErr) return Result.err(stored.error);
      const { tree, root, version } = stored.value;
      if (root.edits.some(({ id }) => id === editId)) return stored;
      const conflict = base === null ? null : settingsTree.conflictingPathOf(base, tree, edits);
      if (conflict !== null) {
        return Result.err(
          errors.createFailure(errors.data.Conflict, 'edit tree', 'platform', conflict),
        );
      }
      // Revisions that the platform has lost are in force at daemons, which accept only higher ones.
      const lowest = storeVersions.versionOf(storeVersions.eraOf(version), 0);
      const revision = Math.max(tree.revision, lowest);
      const next = settingsTree.applyEdits({ ...tree, revision }, edits);
      if (next.isErr) return Result.err(next.error);
      const written = await this.writeRevision(stored.value, next.value, edits, editId);
      if (written !== null) return written;
    }
    return Result.err(platformFailure('edit tree', 'the edit could not be confirmed'));
  }

  /** Writes the chunks, then the root; null if the root must be read again. */
  private async writeRevision(
    before: StoredTree,
    tree: settingsTree.Tree,
    edits: readonly settingsTree.NodeEdit[],
    id: string,
  ): Promise<Result<StoredTree, errors.Failure> | null> {
    const chunks = settingsTree.toChunks(tree.nodes);
    const known = new Set(Object.values(before.root.chunks));
    const newChunks = chunks.filter(({ hash }) => !known.has(hash));
    const outcomes = await Promise.all(
      newChunks.map(({ hash, text }) => this.platform.write(CHUNK_PREFIX + hash, text, 0)),
    );
    if (outcomes.some(({ type }) => type === PlatformOutcome.unknown)) return null;
    this.addChunks(new Map(chunks.map(({ hash, text }) => [hash, text])));
    const paths = edits.map(({ path }) => path);
    const record = { id, revision: tree.revision, paths, atMs: Date.now() };
    const root: settingsTree.TreeRoot = {
      revision: tree.revision,
      chunks: Object.fromEntries(chunks.map(({ name, hash }) => [name, hash])),
      edits: [...before.root.edits, record].slice(-MAX_RECORDED_EDITS),
    };
    const outcome = await this.platform.write(ROOT_KEY, root, before.version);
    return outcome.type === PlatformOutcome.ok
      ? Result.ok({ tree, root, version: outcome.version })
      : null;
  }

  private async chunk(hash: string): Promise<string | null> {
    const cached = this.texts.get(hash);
    if (cached !== undefined) return cached;
    const outcome = await this.platform.read(CHUNK_PREFIX + hash);
    if (outcome.type !== PlatformOutcome.ok || outcome.value === null) return null;
    const text = String(outcome.value.value);
    this.addChunks(new Map([[hash, text]]));
    return this.texts.get(hash) ?? null;
  }
}
