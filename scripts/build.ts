/** Builds `dist/bilberrystand`, a single executable: a copy of Node.js that embeds the bundle. */
import { execFileSync } from 'node:child_process';
import * as fs from 'node:fs';
import { inject } from 'postject';
import { bundle } from '../src/lab/fleet/bundle.js';

const BUNDLE = 'dist/bilberrystand.cjs';
const CONFIG = 'dist/sea.json';
const BLOB = 'dist/sea.blob';
const BINARY = 'dist/bilberrystand';
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

fs.mkdirSync('dist', { recursive: true });
await bundle(BUNDLE);
fs.writeFileSync(
  CONFIG,
  JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ['--experimental-sea-config', CONFIG], { stdio: 'inherit' });
fs.copyFileSync(process.execPath, BINARY);
fs.chmodSync(BINARY, 0o755);
await inject(BINARY, 'NODE_SEA_BLOB', fs.readFileSync(BLOB), { sentinelFuse: FUSE });
console.log(`built ${BINARY}`);
