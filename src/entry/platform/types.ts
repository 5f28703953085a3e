/** Types of the client of the platform's object API. */

/** Response header: how often the platform has returned from an older copy of its objects. */
export const ERA_HEADER = 'x-platform-era';

/** An object with its version, which conditional updates refer to. */
export interface StoredObject {
  readonly version: number;
  readonly value: unknown;
}

export interface ListedObject extends StoredObject {
  readonly key: string;
}

/** An entry VM in the platform's list, which is updated with a delay. */
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
  /** No usable response: a write may have taken effect. */
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
  /** Reads an object; null if it does not exist. */
  read(key: string): Promise<ReadOutcome<StoredObject | null>>;
  /** Writes an object if its version is still `version`; 0 creates it. */
  write(key: string, value: unknown, version: number): Promise<WriteOutcome>;
  remove(key: string, version: number): Promise<WriteOutcome>;
  list(prefix: string): Promise<ReadOutcome<readonly ListedObject[]>>;
  /** Waits until the object's version differs from `since`, at most `waitMs`. */
  watch(key: string, since: number, waitMs: number): Promise<ReadOutcome<StoredObject>>;
  vms(): Promise<ReadOutcome<readonly ListedVm[]>>;
  close(): Promise<void>;
}
