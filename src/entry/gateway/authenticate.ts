/** Whose request it is. */
import type * as http from 'node:http';
import { Result } from 'true-myth';
import * as errors from '../../core/errors/index.js';
import * as catalog from '../../decisions/catalog/index.js';
import * as settingsTree from '../../decisions/settings-tree/index.js';
import { notRun } from './reply.js';
import type { Refusal } from './types.js';

/** Every key starts so, which makes a stray one easy to find. */
export const KEY_PREFIX = 'bsk_';
const KEY_PARAMETERS = ['key', 'api_key', 'apikey', 'access_token', 'token', 'authorization'];
const BEARER = /^Bearer +(\S+)$/i;
const STEP = 'check key';
const PEER = 'caller';

/** The caller's key; null where none was sent. */
export function keyOf(req: http.IncomingMessage): string | null {
  return BEARER.exec(req.headers.authorization ?? '')?.[1] ?? null;
}

/** Digest by which a key is known. */
export function digestOf(key: string): string {
  return settingsTree.sha256(key);
}

/** Refuses a key in the path or the query, where logs of others may keep it. */
export function refuseKeyInUrl(url: URL): Refusal | null {
  const names = [...url.searchParams.keys()].map((name) => name.toLowerCase());
  const named = names.some((name) => KEY_PARAMETERS.includes(name));
  const shown = decodeURIComponent(url.href).includes(KEY_PREFIX);
  return named || shown ? notRun(errors.data.KeyInQuery, STEP, PEER) : null;
}

/** The customer whose key came; on an open route anybody without a key is the open customer. */
export function authenticate(
  current: catalog.Catalog,
  keyDigest: string | null,
  open: boolean,
): Result<catalog.Customer, Refusal> {
  if (keyDigest === null) {
    const anybody = current.customers.get(catalog.OPEN_CUSTOMER);
    return open && anybody !== undefined
      ? Result.ok(anybody)
      : Result.err(notRun(errors.data.MissingKey, STEP, PEER));
  }
  const name = current.customerByKey.get(keyDigest);
  const customer = name === undefined ? undefined : current.customers.get(name);
  return customer === undefined
    ? Result.err(notRun(errors.data.KeyRefused, STEP, PEER))
    : Result.ok(customer);
}
