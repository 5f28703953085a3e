/** What a refused or failed request says about whether it ran. */
export const Ran = { no: 'no', unknown: 'unknown' } as const;
export type Ran = (typeof Ran)[keyof typeof Ran];

/** One kind of error, as listed in `errors-data.ts`. */
export interface ErrorDefinition {
  readonly name: string;
  readonly title: string;
  /** HTTP status when the error is answered to a caller. */
  readonly status: number;
  message(detail: string): string;
  readonly hint: string;
}

/** An error that arose: its definition, the step being done and the peer it was done with. */
export interface Failure {
  readonly name: string;
  readonly title: string;
  readonly status: number;
  readonly message: string;
  readonly hint: string;
  readonly step: string;
  readonly peer: string;
}
