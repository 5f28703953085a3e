/** Mutations that each disable one mechanism of the product, and the test that must then fail. */

export interface Mutation {
  /** The guarantee that the mechanism provides. */
  readonly guarantee: string;
  readonly mechanism: string;
  readonly file: string;
  /** Source texts of the file and their replacements. */
  readonly edits: readonly (readonly [from: string, to: string])[];
  readonly test: string;
}

export const MUTATIONS: readonly Mutation[] = [
  {
    guarantee: 'A non-idempotent request runs at most once',
    mechanism: 'a request whose claim is held by another attempt is not forwarded',
    file: 'src/decisions/idempotency-claims/index.ts',
    edits: [
      [
        'if (claim.attempt === this.own.attempt) return this.forwardOnce(version);',
        'if (claim.attempt !== "") return this.forwardOnce(version);',
      ],
    ],
    test: 'test/properties/idempotency-claims',
  },
  {
    guarantee: 'A rejection that states that a request was not executed is true',
    mechanism: 'a retry of a request in progress is rejected with an unknown outcome',
    file: 'src/decisions/idempotency-claims/index.ts',
    edits: [
      [
        'errors.data.ClaimInProgress, errors.Ran.unknown',
        'errors.data.ClaimInProgress, errors.Ran.no',
      ],
    ],
    test: 'test/properties/idempotency-claims',
  },
  {
    guarantee: 'No customer exceeds its rate and burst over all entry VMs',
    mechanism: 'outstanding loans count against the burst',
    file: 'src/decisions/quota/account.ts',
    edits: [
      ['return Math.max(0, this.burst - lent);', 'return Math.max(0, this.burst - 0 * lent);'],
    ],
    test: 'test/units/quota',
  },
  {
    guarantee: 'No customer exceeds its rate and burst over all entry VMs',
    mechanism: 'a new lender accrues no tokens while loans of its predecessor are valid',
    file: 'src/decisions/quota/loan-grantor.ts',
    edits: [
      [
        'const startMs = Math.max(nowMs, this.frozenUntilMs);',
        'const startMs = Math.min(nowMs, this.frozenUntilMs);',
      ],
    ],
    test: 'test/units/quota',
  },
  {
    guarantee: 'No more replicas are loaded than were decided',
    mechanism: 'only one ledger call is in flight at a time',
    file: 'src/decisions/ledger/index.ts',
    edits: [
      [
        'if (this.phase !== Phase.reading) return [];',
        'if (this.phase === Phase.fencing) return [];',
      ],
      [
        'return this.phase === Phase.reading ? this.read() : [];',
        'return [{ type: LedgerEffectType.read }];',
      ],
    ],
    test: 'test/properties/ledger',
  },
  {
    guarantee: 'Memory is never overcommitted',
    mechanism:
      'memory of an unloaded replica stays reserved while a delayed order can still take effect',
    file: 'src/decisions/ledger/index.ts',
    edits: [
      [
        'const quarantineMs = lateOrderPossible ? QUARANTINE_MS : 0;',
        'const quarantineMs = lateOrderPossible ? 0 : 0;',
      ],
    ],
    test: 'test/properties/ledger',
  },
  {
    guarantee: 'At most one steward is active, so no more replicas are loaded than were decided',
    mechanism: 'a lease is counted from the time its renewal was sent, not from the response',
    file: 'src/decisions/leases/index.ts',
    edits: [
      [
        'this.heldUntilMs = sentAtMs + lease.durationMs;',
        'this.heldUntilMs = nowMs + lease.durationMs + 0 * sentAtMs;',
      ],
    ],
    test: 'test/properties/leases',
  },
  {
    guarantee: 'No backend server receives a caller key',
    mechanism: 'headers with keys are removed before forwarding',
    file: 'src/entry/gateway/service-headers.ts',
    edits: [
      ["  'authorization',\n  'proxy-authorization',", "  'proxy-authorization',"],
      ['text.includes(KEY_PREFIX)', 'text === KEY_PREFIX'],
    ],
    test: 'test/failures/orders.test.ts',
  },
  {
    guarantee: 'A revoked key is rejected within seconds',
    mechanism: 'queued requests of a revoked key are rejected',
    file: 'src/entry/gateway/index.ts',
    edits: [
      [
        'ctx.abort.abort();\n      });\n  }\n\n  private logResponse',
        '});\n  }\n\n  private logResponse',
      ],
    ],
    test: 'test/failures/settings-and-keys.test.ts',
  },
  {
    guarantee: 'An accepted configuration applies on all entry VMs and never reverts',
    mechanism: 'an edit whose response was lost is recognised by its id',
    file: 'src/entry/settings/tree-store.ts',
    edits: [
      [
        'if (root.edits.some(({ id }) => id === editId)) return stored;',
        "if (root.edits.some(({ id }) => id === '')) return stored;",
      ],
    ],
    test: 'test/failures/settings-and-keys.test.ts',
  },
  {
    guarantee: 'A caller gets the complete response to its own request',
    mechanism: 'response headers and chunks must carry the id of the request',
    file: 'src/entry/backends/index.ts',
    edits: [
      ["response.headers['x-request-id'] === requestId", "response.headers['x-request-id'] !== ''"],
      ['chunk.id !== requestId', "chunk.id === ''"],
    ],
    test: 'test/failures/requests.test.ts',
  },
  {
    guarantee: 'A caller gets the complete response to its own request',
    mechanism: 'a stream without its end marker is resumed',
    file: 'src/entry/backends/index.ts',
    edits: [
      [
        "if (!done) throw createCallError(address, 'the stream ended without its end marker', false);",
        '',
      ],
    ],
    test: 'test/failures/requests.test.ts',
  },
  {
    guarantee: 'A request that crashes its backend servers takes down at most two',
    mechanism: 'requests are rejected after two crashes',
    file: 'src/decisions/suspects/index.ts',
    edits: [['const CRASHES_TO_BLOCK = 2;', 'const CRASHES_TO_BLOCK = 200;']],
    test: 'test/failures/requests.test.ts',
  },
  {
    guarantee: 'A draining backend server gets no new requests',
    mechanism: 'draining engines are not eligible',
    file: 'src/decisions/routing/index.ts',
    edits: [['!route.leaving && route.targets', 'route.targets']],
    test: 'test/failures/settings-and-keys.test.ts',
  },
  {
    guarantee: 'Every planned stop is graceful and cuts off no request',
    mechanism: 'a stop waits for running requests to complete',
    file: 'src/entry/wire.ts',
    edits: [['await gateway.drain(settings.stop.graceMs);', 'await gateway.drain(0);']],
    test: 'test/failures/processes.test.ts',
  },
  {
    guarantee: 'A backend server gets no more requests than it says it accepts',
    mechanism: 'the steward issues permits at the rate of the limit',
    file: 'src/decisions/throttling/permit-issuer.ts',
    edits: [['waiting.length > 0 && record.permits.take(nowMs, 1)', 'waiting.length > 0']],
    test: 'test/properties/throttling/request-limit.test.ts',
  },
];
