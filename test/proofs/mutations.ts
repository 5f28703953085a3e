/** Versions of the product without one mechanism each, and the test that must fail on each. */

export interface Mutation {
  /** The promise of the brief that the mechanism keeps. */
  readonly promise: string;
  readonly mechanism: string;
  readonly file: string;
  /** Texts of the file and what stands in their place. */
  readonly edits: readonly (readonly [from: string, to: string])[];
  readonly test: string;
}

export const MUTATIONS: readonly Mutation[] = [
  {
    promise: 'A non-idempotent request runs at most once',
    mechanism: 'a claim that somebody else holds is not forwarded',
    file: 'src/decisions/orders/index.ts',
    edits: [
      [
        'if (claim.attempt === this.own.attempt) return this.forwardOnce(version);',
        'if (claim.attempt !== "") return this.forwardOnce(version);',
      ],
    ],
    test: 'test/properties/orders',
  },
  {
    promise: 'A refusal that says "not run" is true',
    mechanism: 'a repeat of an order in progress is refused as unknown',
    file: 'src/decisions/orders/index.ts',
    edits: [
      [
        'errors.data.ClaimInProgress, errors.Ran.unknown',
        'errors.data.ClaimInProgress, errors.Ran.no',
      ],
    ],
    test: 'test/properties/orders',
  },
  {
    promise: 'No customer gets more than its rate and burst over all VMs',
    mechanism: 'what is lent counts against the burst',
    file: 'src/decisions/quota/account.ts',
    edits: [
      ['return Math.max(0, this.burst - lent);', 'return Math.max(0, this.burst - 0 * lent);'],
    ],
    test: 'test/units/quota',
  },
  {
    promise: 'No customer gets more than its rate and burst over all VMs',
    mechanism: 'a new lender earns nothing while loans of the old one live',
    file: 'src/decisions/quota/giver.ts',
    edits: [
      [
        'const startMs = Math.max(nowMs, this.frozenUntilMs);',
        'const startMs = Math.min(nowMs, this.frozenUntilMs);',
      ],
    ],
    test: 'test/units/quota',
  },
  {
    promise: 'No more replicas are loaded than were decided',
    mechanism: 'one call to the ledger at a time',
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
    promise: 'Memory is never overcommitted',
    mechanism: 'unloaded memory stays charged while a late order can live',
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
    promise: 'No more replicas are loaded than were decided (one steward)',
    mechanism: 'a lease is counted from before its renewal was sent',
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
    promise: 'No backend server sees a caller key',
    mechanism: 'key headers are dropped towards backend servers',
    file: 'src/entry/gateway/service-headers.ts',
    edits: [
      ["  'authorization',\n  'proxy-authorization',", "  'proxy-authorization',"],
      ['text.includes(KEY_PREFIX)', 'text === KEY_PREFIX'],
    ],
    test: 'test/failures/orders.test.ts',
  },
  {
    promise: 'A withdrawn key stops working within seconds',
    mechanism: 'waiting requests of a withdrawn key are refused',
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
    promise: 'An accepted configuration is in force everywhere and never reverts',
    mechanism: 'an edit is known by its id when its answer was lost',
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
    promise: 'A caller gets the whole answer to its own request',
    mechanism: 'parts of an answer carry the id of the request',
    file: 'src/entry/backends/index.ts',
    edits: [
      ["response.headers['x-request-id'] === requestId", "response.headers['x-request-id'] !== ''"],
      ['chunk.id !== requestId', "chunk.id === ''"],
    ],
    test: 'test/failures/requests.test.ts',
  },
  {
    promise: 'A caller gets the whole answer to its own request',
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
    promise: 'A request that crashes its backend servers takes down two at most',
    mechanism: 'requests are refused after two deaths',
    file: 'src/decisions/suspects/index.ts',
    edits: [['const CRASHES_TO_BLOCK = 2;', 'const CRASHES_TO_BLOCK = 200;']],
    test: 'test/failures/requests.test.ts',
  },
  {
    promise: 'A leaving backend server gets no new work',
    mechanism: 'engines marked as leaving are left out',
    file: 'src/decisions/routing/index.ts',
    edits: [['!route.leaving && route.targets', 'route.targets']],
    test: 'test/failures/settings-and-keys.test.ts',
  },
  {
    promise: 'Every planned stop is a graceful shutdown that cuts no request',
    mechanism: 'a stop waits for the running requests',
    file: 'src/entry/wire.ts',
    edits: [['await gateway.drain(settings.stop.graceMs);', 'await gateway.drain(0);']],
    test: 'test/failures/processes.test.ts',
  },
];
