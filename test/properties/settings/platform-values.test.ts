/** Settings that the platform fills in: every value that its documentation allows is accepted. */
import * as fs from 'node:fs';
import * as fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { isRelay, parseSettings } from '../../../src/core/settings/index.js';
import { RetryWindow } from '../../../src/decisions/retries/index.js';
import { acceptsRequest } from '../../../src/decisions/stopping/index.js';

const TEMPLATE = fs.readFileSync('deploy/settings.toml', 'utf8');

/** Field values as the platform writes them; numbers occur in several notations. */
type Fields = Readonly<Record<string, string>>;

const VALID_FIELDS: Fields = {
  node: 'edge-costa-a-1',
  zone: 'costa-a',
  ip: '10.1.0.25',
  'listen.front': '10.1.0.25:8221',
  'listen.ready': '10.1.0.25:8224',
  'port_range.0': '7600',
  'platform.address': '10.200.1.7:8225',
  'bounds.grace_s': '8',
  'bounds.revoke_ms': '5000',
  'bounds.require_fence': 'true',
  'bounds.budget_ratio': '0.2',
  'bounds.budget_window_s': '10',
  'bounds.budget_slack': '52',
};

/** A section, which is rendered once for each field below its name, or once if the field is given. */
const SECTION = /\{\{#([\w.]+)\}\}\n?(.*?)\{\{\/\1\}\}\n?/gs;

function fillSections(fields: Fields): string {
  return TEMPLATE.replace(SECTION, (_, name: string, body: string) => {
    if (fields[name] !== undefined) return body;
    return Object.entries(fields)
      .filter(([field]) => field.startsWith(`${name}.`))
      .map(([field, value]) =>
        body.replaceAll('{{@}}', field.slice(name.length + 1)).replaceAll('{{.}}', value),
      )
      .join('');
  });
}

function fill(fields: Fields): string {
  return fillSections(fields).replace(
    /\{\{([\w.]+)(\|json)?\}\}/g,
    (_, name: string, json?: string) => {
      const value = fields[name] ?? '';
      return json === undefined ? value : JSON.stringify(value);
    },
  );
}

function errorOf(fields: Fields): string {
  const settings = parseSettings(fill(fields), 'node.yaml');
  return settings.isOk ? '' : `${settings.error.message} ${settings.error.hint}`;
}

const notation = fc.constantFrom(
  (value: number) => String(value),
  (value: number) => value.toFixed(3),
  (value: number) => value.toExponential(),
);
const nonNegative = fc
  .tuple(
    fc.oneof(
      fc.nat(),
      fc.double({ min: 0, max: 1e21, noNaN: true }),
      fc.constantFrom(0, 0.2, 430.5, 7_333.3, 1e-7),
    ),
    notation,
  )
  .map(([value, format]) => format(value));
const NUMBERS = [
  'bounds.grace_s',
  'bounds.revoke_ms',
  'bounds.budget_ratio',
  'bounds.budget_window_s',
  'bounds.budget_slack',
];
/** Fields that only some deployments have. */
const OPTIONAL_FIELDS: Fields = {
  'bounds.evacuate_ms': '5000',
  'bounds.cold_overage': '2',
  'bounds.cold_slack': '3',
  region: 'costa',
  'zones.costa-a': 'costa',
  'zones.vega-b': 'vega',
};

describe('settings that the platform fills in', () => {
  // A file that was cut off before its relay section once started a daemon of the other mode.
  test('are invalid while the file is incomplete', () => {
    const text = fill(VALID_FIELDS).trimEnd();
    const accepted = Array.from({ length: text.length }, (_, length) =>
      text.slice(0, length),
    ).filter((part) => parseSettings(part, 'node.yaml').isOk);
    expect(accepted).toEqual([]);
  });

  test('name the terms that only some deployments have', () => {
    const settings = (fields: Fields) =>
      parseSettings(fill(fields), 'node.yaml').unwrapOrElse((failure) => {
        throw new Error(failure.message);
      });
    expect(settings(VALID_FIELDS).relay).not.toHaveProperty('evacuateMs');
    expect(settings({ ...VALID_FIELDS, ...OPTIONAL_FIELDS })).toMatchObject({
      vm: { region: 'costa' },
      regions: { 'costa-a': 'costa', 'vega-b': 'vega' },
      relay: { evacuateMs: 5_000, cold: { overage: 2, slack: 3 } },
    });
  });

  test.each([
    ['7', 7],
    ['16.8', 16.8],
    ['1.4e+02', 140],
    ['', undefined],
    ['0', undefined],
    ['{{limits.link_mbps}}', undefined],
  ])('take a link rate of "%s", which may be missing', (text, mbps) => {
    const settings = parseSettings(
      fill({ ...VALID_FIELDS, 'limits.link_mbps': text }),
      'node.yaml',
    );
    expect(settings.map(({ vm }) => vm.linkMbps).unwrapOr(-1)).toBe(mbps);
  });

  test('accepts a fractional retry slack', () => {
    expect(errorOf({ ...VALID_FIELDS, 'bounds.budget_slack': '138.5' })).toBe('');
  });

  test('accepts every value that the documentation of the platform allows', () => {
    fc.assert(
      fc.property(
        fc.tuple(...NUMBERS.map(() => nonNegative)),
        fc.constantFrom('true', 'false'),
        fc.stringMatching(/^[A-Za-z0-9][A-Za-z0-9._-]{0,80}$/),
        fc.string({ minLength: 1 }),
        (numbers, fences, node, zone) => {
          const values = Object.fromEntries(NUMBERS.map((name, at) => [name, numbers[at] ?? '']));
          const fields = { ...VALID_FIELDS, ...values, 'bounds.require_fence': fences, node, zone };
          const settings = parseSettings(fill(fields), 'node.yaml').unwrapOrElse((failure) => {
            throw new Error(failure.message);
          });
          if (!isRelay(settings)) throw new Error('the settings do not configure a relay');
          const window = new RetryWindow(settings.relay.retries, 0);
          window.noteRequest(1, 'desk');
          window.spend(2, 'desk');
          acceptsRequest(1, settings.stop.graceMs, { isStream: true, timeLimitMs: 1 });
        },
      ),
      { seed: 16 },
    );
  });

  test.each(NUMBERS)('names the setting of %s if it is missing or not a number', (name) => {
    const setting = {
      'bounds.grace_s': 'stop.graceMs',
      'bounds.revoke_ms': 'relay.keyRevocationMs',
      'bounds.budget_ratio': 'relay.retries.ratio',
      'bounds.budget_window_s': 'relay.retries.windowMs',
      'bounds.budget_slack': 'relay.retries.slack',
    }[name];
    ['', '-1', 'NaN', 'some', 'Infinity', '{}'].forEach((value) => {
      expect(errorOf({ ...VALID_FIELDS, [name]: value })).toContain(setting);
    });
  });

  test.each(['keyRevocationMs', 'enginesCheckFences', 'slack', 'callers', 'address'])(
    'names %s if it is missing or duplicated in the file',
    (name) => {
      const lines = fill(VALID_FIELDS).split('\n');
      const isField = (line: string) => line.startsWith(`${name} = `);
      const withoutField = lines.filter((line) => !isField(line)).join('\n');
      const duplicated = lines
        .flatMap((line) => (isField(line) ? [line, line] : [line]))
        .join('\n');
      [withoutField, duplicated].forEach((text) => {
        const settings = parseSettings(text, 'node.yaml');
        expect(settings.isErr && settings.error.message).toContain(name);
      });
    },
  );
});
