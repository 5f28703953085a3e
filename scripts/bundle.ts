/** Builds `target/bilberrystand.cjs`, the bundle that the platform starts. */
import * as fs from 'node:fs';
import { bundle } from '../src/lab/fleet/bundle.js';

fs.mkdirSync('target', { recursive: true });
await bundle('target/bilberrystand.cjs');
