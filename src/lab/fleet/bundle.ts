/** Bundles the command-line program into one CommonJS file. */
import * as esbuild from 'esbuild';

/** Writes the bundle of `src/cli/main.ts` to `outfile`. */
export async function bundle(outfile: string): Promise<void> {
  await esbuild.build({
    entryPoints: ['src/cli/main.ts'],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // A native addon cannot be part of a single-file bundle: without it cbor-x uses its
    // JavaScript implementation.
    external: ['cbor-extract'],
    define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
    logLevel: 'error',
  });
}
