/** `bilberrystand check --plan` as a process: output and exit status that a script relies on. */
import { spawnSync } from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { bundle } from '../../../src/lab/fleet/bundle.js';

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-check-'));
const program = path.join(folder, 'bilberrystand.cjs');
const KEY = 'secret-key';
const CONFIG = {
  version: 1,
  routes: [{ name: 'r', host: 'a', path_prefix: '/', route_kind: 'idempotent', service: 's' }],
  services: [{ name: 's' }],
  tenants: [{ name: 'acme', api_keys: [KEY] }],
};

beforeAll(() => bundle(program));

afterAll(() => fs.rmSync(folder, { recursive: true }));

function write(name: string, text: string): string {
  const file = path.join(folder, name);
  fs.writeFileSync(file, text);
  return file;
}

function run(...args: string[]) {
  const command = [program, 'check', ...args];
  const { status, stdout, stderr } = spawnSync(process.execPath, command, { encoding: 'utf8' });
  expect(stdout + stderr).not.toContain(KEY);
  return { status, stdout };
}

test('the command reports findings, exits 1 for errors only, and prints no keys', () => {
  const current = write('current.json', JSON.stringify(CONFIG));
  const next = write('next.json', JSON.stringify({ ...CONFIG, version: 2, tenants: [] }));
  const faulty = write('faulty.json', JSON.stringify({ ...CONFIG, services: [] }));
  const cut = write('cut.json', `{"tenants":[{"api_keys":[${KEY}`);

  const compared = run('--plan', next, '--current', current);
  expect(compared.status).toBe(0);
  expect(compared.stdout).toContain('customer "acme": removed');
  expect(compared.stdout).toContain('errors 0, warnings 1, changes 2');

  const report = run('--plan', faulty, '--json');
  expect(report.status).toBe(1);
  expect(JSON.parse(report.stdout)).toMatchObject({
    counts: { error: 1 },
    findings: [{ severity: 'error', kind: 'unknownService', subject: 'route "r"' }],
  });

  expect(run('--plan', cut).status).toBe(1);
  expect(run('--plan', next, '--current', cut).status).toBe(1);
  expect(run('--current', current).status).toBe(1);

  const both = run('--plan', next, '--settings', path.join(folder, 'missing.toml'), '--json');
  expect(both.status).toBe(1);
  expect(Object.keys(JSON.parse(both.stdout))).toEqual(['plan']);
});
