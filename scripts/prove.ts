/** `npm run prove`: disables one mechanism at a time and checks that its test then fails. */
import { spawnSync } from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { MUTATIONS, type Mutation } from '../test/proofs/mutations.js';

const COPIED = ['src', 'test', 'traces', 'package.json', 'tsconfig.json', 'vitest.config.ts'];
const TEST_TIMEOUT_MS = 120_000;
const TEST_FLAGS = ['--testTimeout=15000', '--hookTimeout=20000', '--bail=1'];

/** Runs a test against a mutated copy of the source; returns whether it failed, as it must. */
function fails({ file, edits, test }: Mutation): boolean {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrystand-prove-'));
  try {
    COPIED.forEach((name) => fs.cpSync(name, path.join(folder, name), { recursive: true }));
    fs.symlinkSync(path.resolve('node_modules'), path.join(folder, 'node_modules'));
    const target = path.join(folder, file);
    const text = fs.readFileSync(target, 'utf8');
    const missing = edits.find(([from]) => !text.includes(from));
    if (missing !== undefined) throw new Error(`${file} does not contain: ${missing[0]}`);
    fs.writeFileSync(
      target,
      edits.reduce((mutated, [from, to]) => mutated.replace(from, to), text),
    );
    const { status } = spawnSync('npx', ['vitest', 'run', test, ...TEST_FLAGS], {
      cwd: folder,
      timeout: TEST_TIMEOUT_MS,
      stdio: 'ignore',
    });
    return status !== 0;
  } finally {
    fs.rmSync(folder, { recursive: true, force: true });
  }
}

const results = MUTATIONS.map((mutation) => {
  const failed = fails(mutation);
  console.log(`${failed ? 'fails without it' : 'STILL PASSES   '}  ${mutation.mechanism}`);
  return failed;
});
process.exitCode = results.every(Boolean) ? 0 : 1;
