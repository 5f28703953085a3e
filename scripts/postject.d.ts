declare module 'postject' {
  /** Puts `data` into the executable `file` under the name `resource`. */
  export function inject(
    file: string,
    resource: string,
    data: Buffer,
    options: { readonly sentinelFuse: string },
  ): Promise<void>;
}
