/** Converts node values from command-line arguments, and the tree from and to TOML documents. */
import { Result } from 'true-myth';
import * as errors from '../../core/errors/index.js';
import { formatIssues } from '../../core/settings/index.js';
import * as settingsTree from '../../decisions/settings-tree/index.js';

function parseScalar(text: string): unknown {
  if (text === 'true' || text === 'false') return text === 'true';
  if (text !== '' && Number.isFinite(Number(text))) return Number(text);
  return text.includes(',') ? text.split(',') : text;
}

/** Parses and validates `name=value` pairs. */
export function parsePairs(
  pairs: readonly string[],
): Result<settingsTree.NodeValues, errors.Failure> {
  const fail = (detail: string) =>
    Result.err<settingsTree.NodeValues, errors.Failure>(
      errors.createFailure(errors.data.InvalidSettings, 'read values', 'command line', detail),
    );
  const malformed = pairs.find((pair) => !/^[A-Za-z0-9]+=/.test(pair));
  if (malformed !== undefined) return fail(`"${malformed}" is not of the form name=value.`);
  const raw = Object.fromEntries(
    pairs.map((pair) => {
      const at = pair.indexOf('=');
      const name = pair.slice(0, at);
      const value = parseScalar(pair.slice(at + 1));
      return [name, name === 'dataCentres' ? [value].flat() : value];
    }),
  );
  const parsed = settingsTree.nodeSchema.safeParse(raw);
  return parsed.success ? Result.ok(parsed.data) : fail(formatIssues(parsed.error.issues));
}

/** Converts the tree to a TOML document with one table for each node, named by its path. */
export function toDocument(tree: settingsTree.Tree): Record<string, unknown> {
  return Object.fromEntries([...tree.nodes].sort(([a], [b]) => (a < b ? -1 : 1)));
}

/**
 * Returns edits that make `tree` equal to the document. Keys that the document lacks are kept,
 * since documents written by others never contain them.
 */
export function editsToMatch(
  tree: settingsTree.Tree,
  document: Readonly<Record<string, unknown>>,
): readonly settingsTree.NodeEdit[] {
  const isKey = (path: string) => settingsTree.segmentsOf(path)[2] === 'keys';
  const desired = new Map(
    Object.entries(document).map(([path, values]) => [path, values as settingsTree.NodeValues]),
  );
  const removed = [...tree.nodes.keys()]
    .filter((path) => !desired.has(path) && !isKey(path))
    .map((path): settingsTree.NodeEdit => ({ path, values: null }));
  const changed = [...desired]
    .filter(([path, values]) => JSON.stringify(tree.nodes.get(path)) !== JSON.stringify(values))
    .map(([path, values]): settingsTree.NodeEdit => ({ path, values }));
  return [...removed, ...changed];
}
