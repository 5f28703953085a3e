/** HTTP client of the platform's object API. */
import * as undici from 'undici';
import { z } from 'zod';
import * as errors from '../../core/errors/index.js';
import * as storeVersions from '../../decisions/store-versions/index.js';
import {
  ERA_HEADER,
  type ListedObject,
  type ListedVm,
  type PlatformClient,
  PlatformOutcome,
  type ReadOutcome,
  type StoredObject,
  type WriteOutcome,
} from './types.js';

export * from './types.js';

const objectSchema = z.object({ version: z.int(), value: z.unknown() });
const versionSchema = z.object({ version: z.int() });
const listSchema = z.object({ objects: z.array(objectSchema.extend({ key: z.string() })) });
const vmsSchema = z.object({
  vms: z.array(
    z.object({
      id: z.string(),
      dataCentre: z.string(),
      address: z.string(),
      state: z.string(),
    }),
  ),
});

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const MAX_CONNECTIONS = 16;

interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
  readonly era: number;
}

/** Replaces the version that the platform assigned by one that also increases with its era. */
function withEra<T extends { readonly version: number }>(era: number, object: T): T {
  return { ...object, version: storeVersions.versionOf(era, object.version) };
}

type Method = 'GET' | 'PUT' | 'DELETE';

class HttpPlatformClient implements PlatformClient {
  private readonly pool: undici.Pool;

  /** Highest era that a response has named. */
  private lastEra = 0;

  constructor(
    address: string,
    private readonly timeoutMs: number,
  ) {
    this.pool = new undici.Pool(`http://${address}`, {
      connections: MAX_CONNECTIONS,
      connect: { timeout: timeoutMs },
    });
  }

  async read(key: string): Promise<ReadOutcome<StoredObject | null>> {
    return this.ask(`/objects/${encodeURIComponent(key)}`, ({ status, body, era }) =>
      status === STATUS_NOT_FOUND ? null : withEra(era, objectSchema.parse(body)),
    );
  }

  write(key: string, value: unknown, version: number): Promise<WriteOutcome> {
    return this.writeConditionally('PUT', key, version, JSON.stringify({ value }));
  }

  remove(key: string, version: number): Promise<WriteOutcome> {
    return this.writeConditionally('DELETE', key, version);
  }

  async list(prefix: string): Promise<ReadOutcome<readonly ListedObject[]>> {
    return this.ask(`/list?prefix=${encodeURIComponent(prefix)}`, ({ body, era }) =>
      listSchema.parse(body).objects.map((object) => withEra(era, object)),
    );
  }

  async watch(key: string, since: number, waitMs: number): Promise<ReadOutcome<StoredObject>> {
    // A version of a past era is not waited for: it may have been assigned again.
    const isPast = storeVersions.eraOf(since) < this.lastEra;
    const known = isPast ? -1 : storeVersions.revisionOf(since);
    const query = `key=${encodeURIComponent(key)}&since=${known}&timeoutMs=${waitMs}`;
    const parse = ({ body, era }: HttpResponse) => withEra(era, objectSchema.parse(body));
    return this.ask(`/watch?${query}`, parse, waitMs);
  }

  async vms(): Promise<ReadOutcome<readonly ListedVm[]>> {
    return this.ask('/vms', ({ body }) => vmsSchema.parse(body).vms);
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async ask<T>(
    path: string,
    parse: (response: HttpResponse) => T,
    extraMs = 0,
  ): Promise<ReadOutcome<T>> {
    try {
      const response = await this.call('GET', path, {}, undefined, extraMs);
      return { type: PlatformOutcome.ok, value: parse(response) };
    } catch (err) {
      return { type: PlatformOutcome.unknown, reason: errors.describe(err) };
    }
  }

  private async writeConditionally(
    method: Method,
    key: string,
    version: number,
    body?: string,
  ): Promise<WriteOutcome> {
    const isCreated = storeVersions.revisionOf(version) === 0;
    const isPast = !isCreated && storeVersions.eraOf(version) < this.lastEra;
    if (isPast) return { type: PlatformOutcome.conflict };
    const headers = {
      'if-match': String(storeVersions.revisionOf(version)),
      'content-type': 'application/json',
    };
    try {
      const response = await this.call(
        method,
        `/objects/${encodeURIComponent(key)}`,
        headers,
        body,
      );
      if (response.status === STATUS_CONFLICT) return { type: PlatformOutcome.conflict };
      const written = withEra(response.era, versionSchema.parse(response.body));
      return { type: PlatformOutcome.ok, version: written.version };
    } catch (err) {
      return { type: PlatformOutcome.unknown, reason: errors.describe(err) };
    }
  }

  private async call(
    method: Method,
    path: string,
    headers: Record<string, string>,
    body?: string,
    extraMs = 0,
  ): Promise<HttpResponse> {
    const waitMs = this.timeoutMs + extraMs;
    const {
      statusCode: status,
      headers: responseHeaders,
      body: response,
    } = await this.pool.request({
      method,
      path,
      headers,
      body: body ?? null,
      signal: AbortSignal.timeout(waitMs),
    });
    const isExpected = [STATUS_OK, STATUS_NOT_FOUND, STATUS_CONFLICT].includes(status);
    if (!isExpected) {
      await response.dump();
      throw new Error(`the platform responded with status ${status}`);
    }
    const era = Number(responseHeaders[ERA_HEADER] ?? 0);
    if (!storeVersions.isValid(era, 0) || era < this.lastEra) {
      await response.dump();
      throw new Error(`the platform responded from a past era, ${era}`);
    }
    this.lastEra = era;
    return { status, body: await response.json(), era };
  }
}

/** Creates the client of the platform at `address`; calls time out after `timeoutMs`. */
export function createPlatformClient(address: string, timeoutMs: number): PlatformClient {
  return new HttpPlatformClient(address, timeoutMs);
}
