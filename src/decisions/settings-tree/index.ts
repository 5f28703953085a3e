/** The settings tree: inheritance, validation, edits, differences. */
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

const SEGMENT = /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/;
/** Shapes of the paths that may exist; `*` stands for a name. */
const SHAPES = [
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

/** Names on the way to a node; the root has none. */
export function segmentsOf(path: string): readonly string[] {
  return path.split('/').filter((segment) => segment !== '');
}

/** The node's path and those of its ancestors, nearest first, the root last. */
export function lineageOf(path: string): readonly string[] {
  const segments = segmentsOf(path);
  return [...segments.keys(), segments.length]
    .reverse()
    .map((length) => `/${segments.slice(0, length).join('/')}`);
}

/** Value `name` at `path`, from the nearest node of the lineage that sets it. */
export function effectiveValue(tree: Tree, path: string, name: ValueName): EffectiveValue | null {
  const lineage = (INHERITED_NAMES as readonly ValueName[]).includes(name)
    ? lineageOf(path)
    : [path];
  const from = lineage.find((ancestor) => tree.nodes.get(ancestor)?.[name] !== undefined);
  if (from !== undefined) return { name, value: tree.nodes.get(from)?.[name], from };
  const value = (DEFAULT_VALUES as NodeValues)[name];
  return value === undefined ? null : { name, value, from: 'default' };
}

/** Every value in force at `path`. */
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

/** Values in force at a node. */
export type ResolvedValues = NodeValues & DefaultValues;

/** Tells the values in force at any path of `tree`; each ancestor's part is worked out once. */
export function createResolver(tree: Tree): (path: string) => ResolvedValues {
  const known = new Map<string, ResolvedValues>();
  const passedOnAt = (path: string | null): ResolvedValues => {
    if (path === null) return DEFAULT_VALUES;
    const cached = known.get(path);
    if (cached !== undefined) return cached;
    const above = passedOnAt(parentOf(path));
    const own = tree.nodes.get(path);
    const values: ResolvedValues = own === undefined ? above : { ...above, ...onlyInherited(own) };
    known.set(path, values);
    return values;
  };
  return (path) => ({ ...passedOnAt(parentOf(path)), ...tree.nodes.get(path) });
}

function isKnownShape(path: string): boolean {
  const segments = segmentsOf(path);
  return SHAPES.some(
    (shape) =>
      shape.length === segments.length &&
      shape.every((part, index) =>
        part === '*' ? SEGMENT.test(segments[index] ?? '') : part === segments[index],
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

function nodeFaults(tree: Tree, path: string, values: NodeValues): readonly string[] {
  if (!isKnownShape(path)) return [`${path}: nothing of this shape belongs in the tree`];
  const parsed = nodeSchema.safeParse(values);
  const invalid = parsed.success
    ? []
    : parsed.error.issues.map((issue) => `${path}: ${issue.path.join('.')}: ${issue.message}`);
  const missing = requiredNames(path, values)
    .filter((name) => values[name] === undefined)
    .map((name) => `${path}: ${name} is missing`);
  const isBackend = segmentsOf(path)[0] === 'backends' && values.address !== undefined;
  const homeless = isBackend && effectiveValue(tree, path, 'dataCentre') === null;
  const unknownService =
    values.service !== undefined && !tree.nodes.has(`/services/${values.service}`);
  return [
    ...invalid,
    ...missing,
    ...(homeless ? [`${path}: dataCentre is missing`] : []),
    ...(unknownService ? [`${path}: there is no service "${values.service}"`] : []),
  ];
}

/** Names that stand for more than one model or adapter, which callers could not tell apart. */
function duplicateNames(tree: Tree): readonly string[] {
  const seen = new Map<string, string>();
  return [...tree.nodes.keys()].flatMap((path) => {
    const segments = segmentsOf(path);
    const isServed = segments[0] === 'services' && (segments.length === 4 || segments.length === 6);
    if (!isServed) return [];
    const name = segments.at(-1) ?? '';
    const first = seen.get(name);
    seen.set(name, path);
    return first === undefined ? [] : [`${path}: the name is taken by ${first}`];
  });
}

/** Every fault of the tree, each a line that starts with its path. */
export function faultsOf(tree: Tree): readonly string[] {
  const faults = [...tree.nodes].flatMap(([path, values]) => nodeFaults(tree, path, values));
  return [...faults, ...duplicateNames(tree)];
}

function applyOne(nodes: Map<string, NodeValues>, edit: NodeEdit): Map<string, NodeValues> {
  if (edit.values !== null) return nodes.set(edit.path, edit.values);
  const below = [...nodes.keys()].filter(
    (path) => path === edit.path || path.startsWith(`${edit.path}/`),
  );
  below.forEach((path) => nodes.delete(path));
  return nodes;
}

/** Applies all edits or none. The failure lists every fault of the outcome. */
export function applyEdits(tree: Tree, edits: readonly NodeEdit[]): Result<Tree, errors.Failure> {
  const nodes = edits.reduce(applyOne, new Map(tree.nodes));
  const next: Tree = { revision: tree.revision + 1, nodes };
  const faults = faultsOf(next);
  return faults.length === 0
    ? Result.ok(next)
    : Result.err(
        errors.createFailure(errors.data.InvalidSettings, 'edit tree', 'tree', faults.join('\n')),
      );
}

/** Nodes whose own values differ, ordered by path. */
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

/** The first edited path that somebody else changed between `base` and `current`. */
export function conflictOf(base: Tree, current: Tree, edits: readonly NodeEdit[]): string | null {
  const changed = diff(base, current).map((change) => change.path);
  const touches = (path: string) =>
    edits.some(
      (edit) => edit.path === path || (edit.values === null && path.startsWith(`${edit.path}/`)),
    );
  return changed.find(touches) ?? null;
}
