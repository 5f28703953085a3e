/** The settings tree: inheritance, validation, edits and differences between revisions. */
import { Result } from 'true-myth';
import * as errors from '../../core/errors/index.js';
import {
  DEFAULT_VALUES,
  type DefaultValues,
  type EffectiveValue,
  INHERITED_NAMES,
  type NodeChange,
  type NodeEdit,
  nodeSchema,
  type NodeValues,
  type Tree,
  type ValueName,
} from './types.js';

export * from './chunks.js';
export * from './types.js';

const SEGMENT_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;
/** Segments of the valid paths; `*` matches any name. */
const PATH_SHAPES = [
  [],
  ['services'],
  ['services', '*'],
  ['services', '*', 'models'],
  ['services', '*', 'models', '*'],
  ['services', '*', 'models', '*', 'adapters'],
  ['services', '*', 'models', '*', 'adapters', '*'],
  ['customers'],
  ['customers', '*'],
  ['customers', '*', 'keys'],
  ['customers', '*', 'keys', '*'],
  ['backends'],
  ['backends', '*'],
  ['backends', '*', '*'],
];

/** The tree of a new deployment. */
export const EMPTY_TREE: Tree = { revision: 0, nodes: new Map() };

/** Segments of a path; the root has none. */
export function segmentsOf(path: string): readonly string[] {
  return path.split('/').filter((segment) => segment !== '');
}

/** Paths of the node and its ancestors, from the node up to the root. */
export function ancestorPathsOf(path: string): readonly string[] {
  const segments = segmentsOf(path);
  return [...segments.keys(), segments.length]
    .reverse()
    .map((length) => `/${segments.slice(0, length).join('/')}`);
}

/**
 * Returns the effective value of `name` at `path`, or null if there is none. An inherited value
 * comes from the nearest node that sets it; any other value comes from the node itself. If no such
 * node sets the value, the default applies.
 */
export function effectiveValue(tree: Tree, path: string, name: ValueName): EffectiveValue | null {
  const sources = (INHERITED_NAMES as readonly ValueName[]).includes(name)
    ? ancestorPathsOf(path)
    : [path];
  const from = sources.find((ancestor) => tree.nodes.get(ancestor)?.[name] !== undefined);
  if (from !== undefined) return { name, value: tree.nodes.get(from)?.[name], from };
  const value = (DEFAULT_VALUES as NodeValues)[name];
  return value === undefined ? null : { name, value, from: 'default' };
}

/** All effective values at `path`. */
export function effectiveValues(tree: Tree, path: string): readonly EffectiveValue[] {
  const names = Object.keys(nodeSchema.shape) as ValueName[];
  return names.flatMap((name) => effectiveValue(tree, path, name) ?? []);
}

function parentOf(path: string): string | null {
  if (path === '/') return null;
  const end = path.lastIndexOf('/');
  return end === 0 ? '/' : path.slice(0, end);
}

function onlyInherited(values: NodeValues): NodeValues {
  const names = INHERITED_NAMES as readonly string[];
  return Object.fromEntries(Object.entries(values).filter(([name]) => names.includes(name)));
}

/** Effective values of a node: its own, the inherited ones and the defaults. */
export type ResolvedValues = NodeValues & DefaultValues;

/** Returns a function that resolves the effective values at a path; inherited values are cached. */
export function createResolver(tree: Tree): (path: string) => ResolvedValues {
  const cache = new Map<string, ResolvedValues>();
  const inheritedAt = (path: string | null): ResolvedValues => {
    if (path === null) return DEFAULT_VALUES;
    const cached = cache.get(path);
    if (cached !== undefined) return cached;
    const fromParent = inheritedAt(parentOf(path));
    const own = tree.nodes.get(path);
    const values: ResolvedValues =
      own === undefined ? fromParent : { ...fromParent, ...onlyInherited(own) };
    cache.set(path, values);
    return values;
  };
  return (path) => ({ ...inheritedAt(parentOf(path)), ...tree.nodes.get(path) });
}

function isKnownShape(path: string): boolean {
  const segments = segmentsOf(path);
  return PATH_SHAPES.some(
    (shape) =>
      shape.length === segments.length &&
      shape.every((expected, index) =>
        expected === '*'
          ? SEGMENT_PATTERN.test(segments[index] ?? '')
          : expected === segments[index],
      ),
  );
}

function requiredNames(path: string, values: NodeValues): readonly ValueName[] {
  const [section, ...rest] = segmentsOf(path);
  if (section === 'services' && (rest.length === 3 || rest.length === 5)) return ['bytesMb'];
  if (section === 'customers' && rest.length === 3) return ['sha256'];
  if (section === 'backends' && rest.length === 2) {
    return values.kind === 'plain'
      ? ['kind', 'address', 'service']
      : ['kind', 'address', 'service', 'memoryMb'];
  }
  return [];
}

function nodeErrors(tree: Tree, path: string, values: NodeValues): readonly string[] {
  if (!isKnownShape(path)) return [`${path}: not a valid path in the settings tree`];
  const parsed = nodeSchema.safeParse(values);
  const invalid = parsed.success
    ? []
    : parsed.error.issues.map((issue) => `${path}: ${issue.path.join('.')}: ${issue.message}`);
  const missing = requiredNames(path, values)
    .filter((name) => values[name] === undefined)
    .map((name) => `${path}: ${name} is missing`);
  const isBackend = segmentsOf(path)[0] === 'backends' && values.address !== undefined;
  const lacksDataCentre = isBackend && effectiveValue(tree, path, 'dataCentre') === null;
  const unknownService =
    values.service !== undefined && !tree.nodes.has(`/services/${values.service}`);
  return [
    ...invalid,
    ...missing,
    ...(lacksDataCentre ? [`${path}: dataCentre is missing`] : []),
    ...(unknownService ? [`${path}: unknown service "${values.service}"`] : []),
  ];
}

/**
 * Errors for names used by several models or adapters. Callers address a model or adapter by its
 * name alone, so each name must be unique.
 */
function duplicateNames(tree: Tree): readonly string[] {
  const seen = new Map<string, string>();
  return [...tree.nodes.keys()].flatMap((path) => {
    const segments = segmentsOf(path);
    const isServed = segments[0] === 'services' && (segments.length === 4 || segments.length === 6);
    if (!isServed) return [];
    const name = segments.at(-1) ?? '';
    const first = seen.get(name);
    seen.set(name, path);
    return first === undefined ? [] : [`${path}: the name is already used by ${first}`];
  });
}

/** Validation errors of the tree; each is one line that starts with the path of the node. */
export function validationErrorsOf(tree: Tree): readonly string[] {
  const perNode = [...tree.nodes].flatMap(([path, values]) => nodeErrors(tree, path, values));
  return [...perNode, ...duplicateNames(tree)];
}

function applyEdit(nodes: Map<string, NodeValues>, edit: NodeEdit): Map<string, NodeValues> {
  if (edit.values !== null) return nodes.set(edit.path, edit.values);
  const removed = [...nodes.keys()].filter(
    (path) => path === edit.path || path.startsWith(`${edit.path}/`),
  );
  removed.forEach((path) => nodes.delete(path));
  return nodes;
}

/** Applies all edits or none. The failure lists every validation error of the resulting tree. */
export function applyEdits(tree: Tree, edits: readonly NodeEdit[]): Result<Tree, errors.Failure> {
  const nodes = edits.reduce(applyEdit, new Map(tree.nodes));
  const next: Tree = { revision: tree.revision + 1, nodes };
  const validationErrors = validationErrorsOf(next);
  return validationErrors.length === 0
    ? Result.ok(next)
    : Result.err(
        errors.createFailure(
          errors.data.InvalidSettings,
          'edit tree',
          'tree',
          validationErrors.join('\n'),
        ),
      );
}

/** Nodes whose own values differ between two trees, ordered by path. */
export function diff(before: Tree, after: Tree): readonly NodeChange[] {
  const paths = [...new Set([...before.nodes.keys(), ...after.nodes.keys()])].sort();
  return paths
    .map((path) => ({
      path,
      before: before.nodes.get(path) ?? null,
      after: after.nodes.get(path) ?? null,
    }))
    .filter((change) => JSON.stringify(change.before) !== JSON.stringify(change.after));
}

/** First path affected by `edits` that has changed between `base` and `current`; null if none. */
export function conflictingPathOf(
  base: Tree,
  current: Tree,
  edits: readonly NodeEdit[],
): string | null {
  const changed = diff(base, current).map((change) => change.path);
  const touches = (path: string) =>
    edits.some(
      (edit) => edit.path === path || (edit.values === null && path.startsWith(`${edit.path}/`)),
    );
  return changed.find(touches) ?? null;
}
