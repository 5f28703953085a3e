/** Compiles a revision of the settings tree into lookup tables for the request path. */
import * as settingsTree from '../settings-tree/index.js';
import type { Backend, Catalog, Customer, PlainService, Target } from './types.js';

export type * from './types.js';

/** Customer name for callers of open services and models. These callers need no key. */
export const OPEN_CUSTOMER = 'open';

interface SettingsNode {
  readonly path: string;
  readonly segments: readonly string[];
}

type Resolver = ReturnType<typeof settingsTree.createResolver>;

function compileTarget(
  tree: settingsTree.Tree,
  resolve: Resolver,
  { path, segments }: SettingsNode,
): Target {
  const values = resolve(path);
  const isAdapter = segments.length === 6;
  const modelPath = `/${segments.slice(0, 4).join('/')}`;
  return {
    name: segments.at(-1) ?? '',
    service: segments[1] ?? '',
    model: segments[3] ?? '',
    adapter: isAdapter ? (segments[5] ?? null) : null,
    modelMb: tree.nodes.get(modelPath)?.bytesMb ?? 0,
    adapterMb: isAdapter ? (values.bytesMb ?? 0) : 0,
    class: values.class,
    deadlineMs: values.deadlineMs,
    maxTokens: values.maxTokens,
    keepWarmMs: values.keepWarmMs,
    retryRatio: values.retryRatio,
    open: values.open,
  };
}

function compileCustomer(resolve: Resolver, { path, segments }: SettingsNode): Customer {
  const values = resolve(path);
  const { ratePerS, burst, weight } = values;
  return { name: segments[1] ?? '', ratePerS, burst, weight };
}

function compileBackend(resolve: Resolver, { path, segments }: SettingsNode): Backend {
  const values = resolve(path);
  return {
    id: segments[2] ?? '',
    kind: values.kind ?? 'model',
    dataCentre: values.dataCentre ?? '',
    address: values.address ?? '',
    service: values.service ?? '',
    memoryMb: values.memoryMb ?? 0,
    fencing: values.fencing,
    slots: values.slots,
    leaving: values.state === settingsTree.BackendState.leaving,
  };
}

function compileService(resolve: Resolver, { path, segments }: SettingsNode): PlainService {
  const values = resolve(path);
  return { name: segments[1] ?? '', open: values.open, deadlineMs: values.deadlineMs };
}

function byName<T>(items: readonly T[], nameOf: (item: T) => string): ReadonlyMap<string, T> {
  return new Map(items.map((item) => [nameOf(item), item]));
}

/** Compiles `tree`, which must be valid. */
export function compile(tree: settingsTree.Tree): Catalog {
  const resolve = settingsTree.createResolver(tree);
  const nodes = [...tree.nodes.keys()].map((path) => ({
    path,
    segments: settingsTree.segmentsOf(path),
  }));
  const inSection = (section: string, length: number) =>
    nodes.filter(({ segments }) => segments[0] === section && segments.length === length);
  const targets = [...inSection('services', 4), ...inSection('services', 6)];
  const customers = inSection('customers', 2).map((node) => compileCustomer(resolve, node));
  const open = compileCustomer(resolve, {
    path: '/customers',
    segments: ['customers', OPEN_CUSTOMER],
  });
  const keys = inSection('customers', 4).map(({ path, segments }): [string, string] => [
    tree.nodes.get(path)?.sha256 ?? '',
    segments[1] ?? '',
  ]);
  const plain = inSection('services', 2).filter(
    ({ path }) => tree.nodes.get(path)?.kind === 'plain',
  );
  return {
    revision: tree.revision,
    targets: byName(
      targets.map((node) => compileTarget(tree, resolve, node)),
      (target) => target.name,
    ),
    customers: byName([open, ...customers], (customer) => customer.name),
    customerByKey: new Map(keys),
    backends: byName(
      inSection('backends', 3).map((node) => compileBackend(resolve, node)),
      (backend) => backend.id,
    ),
    services: byName(
      plain.map((node) => compileService(resolve, node)),
      (service) => service.name,
    ),
    dataCentres: tree.nodes.get('/')?.dataCentres ?? [],
    entryVms: tree.nodes.get('/')?.entryVms ?? settingsTree.DEFAULT_VALUES.entryVms,
  };
}
