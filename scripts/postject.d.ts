/** Types of the `postject` package. */
declare module 'postject' {
  /** Injects `data` into the executable `file` as the resource named `resource`. */
  export function inject(
    file: string,
    resource: string,
    data: Buffer,
    options: { readonly sentinelFuse: string },
  ): Promise<void>;
}
