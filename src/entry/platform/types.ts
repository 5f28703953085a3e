/** Calls to the platform's object API. */

/** An object with the version that a conditional update names. */
export interface StoredObject {
  readonly version: number;
  readonly value: unknown;
}

export interface ListedObject extends StoredObject {
  readonly key: string;
}

/** An entry VM in the platform's list, which lags. */
export interface ListedVm {
  readonly id: string;
  readonly dataCentre: string;
  /** Address of its peer listener. */
  readonly address: string;
  readonly state: string;
}

export const PlatformOutcome = {
  ok: 'ok',
  conflict: 'conflict',
  /** No answer: a write may have taken effect. */
  unknown: 'unknown',
} as const;

export type ReadOutcome<T> =
  | { readonly type: typeof PlatformOutcome.ok; readonly value: T }
  | { readonly type: typeof PlatformOutcome.unknown; readonly reason: string };

export type WriteOutcome =
  | { readonly type: typeof PlatformOutcome.ok; readonly version: number }
  | { readonly type: typeof PlatformOutcome.conflict }
  | { readonly type: typeof PlatformOutcome.unknown; readonly reason: string };

export interface PlatformClient {
  /** An object, or null where there is none. */
  read(key: string): Promise<ReadOutcome<StoredObject | null>>;
  /** Writes where the object has `version`; 0 creates it. */
  write(key: string, value: unknown, version: number): Promise<WriteOutcome>;
  remove(key: string, version: number): Promise<WriteOutcome>;
  list(prefix: string): Promise<ReadOutcome<readonly ListedObject[]>>;
  /** Waits until the object's version is another than `since`, at most `waitMs`. */
  watch(key: string, since: number, waitMs: number): Promise<ReadOutcome<StoredObject>>;
  vms(): Promise<ReadOutcome<readonly ListedVm[]>>;
  close(): Promise<void>;
}
