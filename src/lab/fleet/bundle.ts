/** Bundles the program into one CommonJS file. */
import * as esbuild from 'esbuild';

/** Writes the bundle to `outfile`. */
export async function bundle(outfile: string): Promise<void> {
  await esbuild.build({
    entryPoints: ['src/cli/main.ts'],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // The CBOR library then takes its JavaScript path, which a single file can hold.
    external: ['cbor-extract'],
    define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
    logLevel: 'error',
  });
}
