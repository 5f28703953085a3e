/** Findings about an operator's configuration: a mistake that is not found reaches the fleet. */
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { decodeStrictly } from '../../../platform/config-check.js';
import { checkPlan, type Finding } from '../../../src/decisions/plan-check/index.js';

const ROUTE = {
  name: 'talk',
  host: 'a.example',
  path_prefix: '/talk/',
  route_kind: 'streaming',
  resumable: true,
  attempts: 2,
  service: 'desk',
};
const MODEL = { name: 'wheel', weights_mb: 100, load_time_s: 2, adapters: 2, adapter_mb: 5 };
const ENGINE = { engine_slots: 4, weights_mb: 200, adapter_slots: 1, models: [MODEL] };
const SERVICE = { name: 'desk', engine: ENGINE };
const CUSTOMER = { name: 'acme', api_keys: ['key-one'], rate_per_s: 5, burst_size: 5 };
const CONFIG = { version: 7, routes: [ROUTE], services: [SERVICE], tenants: [CUSTOMER] };

function check(value: unknown, current?: unknown): readonly Finding[] {
  const { draft, findings } = decodeStrictly(value);
  const before = current === undefined ? null : decodeStrictly(current).draft;
  return [...findings, ...(draft === null ? [] : checkPlan(draft, before))];
}

const withRoute = (edit: object, ...more: object[]) => ({
  ...CONFIG,
  routes: [{ ...ROUTE, ...edit }, ...more],
});
const withModel = (edit: object) => ({
  ...CONFIG,
  services: [{ ...SERVICE, engine: { ...ENGINE, models: [{ ...MODEL, ...edit }] } }],
});
const withCustomers = (...tenants: object[]) => ({ ...CONFIG, tenants });
const split = (...weights: number[]) => ({
  service: undefined,
  traffic_split: weights.map((weight) => ({ service: 'desk', weight })),
});

test('a sound configuration has no findings', () => expect(check(CONFIG)).toEqual([]));

describe('errors', () => {
  test.each([
    ['unknownService', 'route "talk"', withRoute({ service: 'gone' })],
    ['noTarget', 'route "talk"', withRoute({ service: undefined })],
    ['noWeight', 'route "talk"', withRoute(split(0, 0))],
    ['duplicateName', 'route "talk"', withRoute({}, { ...ROUTE, path_prefix: '/other/' })],
    ['duplicateName', 'service "desk"', { ...CONFIG, services: [SERVICE, { name: 'desk' }] }],
    ['duplicateName', 'customer "acme"', withCustomers(CUSTOMER, CUSTOMER)],
    ['sharedKey', 'customer "acme"', withCustomers(CUSTOMER, { ...CUSTOMER, name: 'b' })],
    ['invalidField', 'routes[0].route_kind', withRoute({ route_kind: 'unheard-of' })],
    ['invalidField', 'services[0].engine.models[0].adapters', withModel({ adapters: 'x' })],
    ['invalidField', 'tenants[0].rate_per_s', withCustomers({ ...CUSTOMER, rate_per_s: -1 })],
  ])('%s of %s', (kind, subject, config) => {
    expect(check(config)).toContainEqual(
      expect.objectContaining({ severity: 'error', kind, subject }),
    );
  });

  test('no value makes the decoding throw', () => {
    fc.assert(
      fc.property(fc.anything(), (value) => {
        expect(decodeStrictly(value).findings).not.toEqual([]);
      }),
      { seed: 20261204, numRuns: 500 },
    );
  });

  test('a field that entry VMs cannot decode is told with its path', () => {
    const findings = check(withRoute({ host: 5 })).map(({ kind, subject }) => [kind, subject]);
    expect(findings).toEqual([
      ['invalidField', 'routes[0].host'],
      ['unreadable', '(file)'],
    ]);
  });
});

describe('warnings', () => {
  const other = { ...ROUTE, name: 'other' };
  test.each([
    ['ignoredField', withRoute({ timeout: 5 })],
    ['ignoredField', withRoute({ ...split(1), service: 'desk' })],
    ['hostWithPort', withRoute({ host: 'a.example:80' })],
    ['badPrefix', withRoute({ path_prefix: 'talk/' })],
    ['badPrefix', withRoute({ path_prefix: '/talk' })],
    ['shadowedRoute', withRoute({}, { ...other, host: 'A.example' })],
    ['customerWithoutKeys', withCustomers(CUSTOMER, { name: 'b' })],
    ['noKeys', withCustomers()],
    ['unusedService', { ...CONFIG, services: [SERVICE, { name: 'idle' }] }],
    ['zeroWeight', withRoute(split(1, 0))],
    ['objectiveAboveTimeout', withRoute({ timeout_ms: 10, target_latency_ms: 11 })],
    ['burstBelowRequest', withCustomers({ ...CUSTOMER, burst_size: 0.5 })],
    [
      'burstBelowRequest',
      withCustomers({ ...CUSTOMER, unit: 'token_count', plain_tokens: 6, burst_size: 5 }),
    ],
    ['attemptsWithoutRetry', withRoute({ route_kind: 'non_idempotent' })],
    ['attemptsWithoutRetry', withRoute({ resumable: false })],
    ['modelAboveMemory', withModel({ weights_mb: 201 })],
    ['modelAboveMemory', withModel({ weights_mb: 196 })],
    [
      'noAdapterSlots',
      { ...CONFIG, services: [{ ...SERVICE, engine: { ...ENGINE, adapter_slots: 0 } }] },
    ],
    ['headerTimeoutAboveIdle', { ...CONFIG, limits: { header_timeout_ms: 9, idle_timeout_ms: 8 } }],
    [
      'noCommonRegion',
      {
        ...withRoute({ allowed_regions: ['north'] }),
        tenants: [{ ...CUSTOMER, allowed_regions: ['south'] }],
      },
    ],
  ])('%s (case %#)', (kind, config) => {
    expect(check(config).map((finding) => [finding.severity, finding.kind])).toEqual([
      ['warning', kind],
    ]);
  });

  test('none for a customer without keys beside a public route', () => {
    const tenants = [CUSTOMER, { name: 'b' }];
    expect(check({ ...withRoute({ public: true }), tenants })).toEqual([]);
  });

  test('none for regions that overlap, or an empty list, which allows all', () => {
    const regions = (route: string[], customer: string[]) => ({
      ...withRoute({ allowed_regions: route }),
      tenants: [{ ...CUSTOMER, allowed_regions: customer }],
    });
    expect(check(regions(['n', 's'], ['s']))).toEqual([]);
    expect(check(regions(['n'], []))).toEqual([]);
  });
});

describe('differences from the configuration in force', () => {
  const linesOf = (next: unknown) =>
    check({ version: 8, ...(next as object) }, CONFIG).map(
      ({ kind, subject, detail }) => `${kind} ${subject}: ${detail}`,
    );

  test('a version that does not rise is an error, as entry VMs ignore it', () => {
    expect(check(CONFIG, CONFIG)).toEqual([
      expect.objectContaining({ severity: 'error', kind: 'versionNotRaised' }),
    ]);
    expect(linesOf({ ...CONFIG, version: 8 })).toEqual([]);
  });

  test('are told by entry and field, with values that a default has filled', () => {
    const model = { ...MODEL, name: 'new', adapters: 0 };
    const services = [{ ...SERVICE, engine: { ...ENGINE, engine_slots: 8, models: [model] } }];
    const limits = { max_body_bytes: 5 };
    expect(linesOf({ ...withRoute({ timeout_ms: 9_000 }), services, limits, version: 8 })).toEqual([
      'removed model "desk/wheel": removed',
      'changed route "talk": timeout_ms 30000 -> 9000',
      'changed service "desk": engine.engine_slots 4 -> 8',
      'added model "desk/new": added',
      'changed limits: max_body_bytes 4194304 -> 5',
    ]);
  });

  test('count keys and never show them', () => {
    const next = withCustomers({ ...CUSTOMER, api_keys: ['key-two', 'key-three'] });
    expect(linesOf({ ...next, version: 8 })).toEqual([
      'keysChanged customer "acme": 2 keys added, 1 removed, 2 in all',
    ]);
    expect(linesOf({ ...CONFIG, tenants: undefined, version: 8 })[0]).toContain('no longer need');
  });
});
