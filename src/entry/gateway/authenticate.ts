/** Authenticates callers by their API keys. */
import type * as http from 'node:http';
import { Result } from 'true-myth';
import * as errors from '../../core/errors/index.js';
import * as catalog from '../../decisions/catalog/index.js';
import * as settingsTree from '../../decisions/settings-tree/index.js';
import { createRefusal } from './reply.js';
import type { Refusal } from './types.js';

/** Prefix of every key, by which leaked keys can be found. */
export const KEY_PREFIX = 'bsk_';
const KEY_PARAMETERS = ['key', 'api_key', 'apikey', 'access_token', 'token', 'authorization'];
const BEARER = /^Bearer +(\S+)$/i;
const STEP = 'check key';
const PEER = 'caller';

/** Returns the caller's bearer key, or null if the request has none. */
export function keyOf(req: http.IncomingMessage): string | null {
  return BEARER.exec(req.headers.authorization ?? '')?.[1] ?? null;
}

/** SHA-256 digest, under which the settings store a key. */
export function digestOf(key: string): string {
  return settingsTree.sha256(key);
}

/** Refuses a request with a key in its path or query, which third parties may log. */
export function refuseKeyInUrl(url: URL): Refusal | null {
  const names = [...url.searchParams.keys()].map((name) => name.toLowerCase());
  const hasKeyParameter = names.some((name) => KEY_PARAMETERS.includes(name));
  const containsKey = decodeURIComponent(url.href).includes(KEY_PREFIX);
  return hasKeyParameter || containsKey ? createRefusal(errors.data.KeyInQuery, STEP, PEER) : null;
}

/**
 * Returns the customer that the key belongs to. On an open route, requests without a key belong to
 * the open customer.
 */
export function authenticate(
  current: catalog.Catalog,
  keyDigest: string | null,
  open: boolean,
): Result<catalog.Customer, Refusal> {
  if (keyDigest === null) {
    const openCustomer = current.customers.get(catalog.OPEN_CUSTOMER);
    return open && openCustomer !== undefined
      ? Result.ok(openCustomer)
      : Result.err(createRefusal(errors.data.MissingKey, STEP, PEER));
  }
  const name = current.customerByKey.get(keyDigest);
  const customer = name === undefined ? undefined : current.customers.get(name);
  return customer === undefined
    ? Result.err(createRefusal(errors.data.KeyRefused, STEP, PEER))
    : Result.ok(customer);
}
