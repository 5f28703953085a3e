/** Whether a refused or failed request was executed: certainly not, or possibly. */
export const Ran = { no: 'no', unknown: 'unknown' } as const;
export type Ran = (typeof Ran)[keyof typeof Ran];

/** A kind of error; `errors-data.ts` lists all of them. */
export interface ErrorDefinition {
  readonly name: string;
  readonly title: string;
  /** HTTP status of the response to a caller. */
  readonly status: number;
  message(detail: string): string;
  readonly hint: string;
}

/** An occurrence of an error: its texts, the operation that failed, and the peer involved. */
export interface Failure {
  readonly name: string;
  readonly title: string;
  readonly status: number;
  readonly message: string;
  readonly hint: string;
  readonly step: string;
  readonly peer: string;
}
