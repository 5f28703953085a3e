/** The settings file of a daemon. */
import { z } from 'zod';

const address = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'must be an IPv4 address and port, as 10.0.0.1:8080');

const MS_PER_S = 1000;
/** A number in the notation of any template: 8, 0.25, 1e-05. */
const NUMBER = String.raw`[+-]?\d+(?:\.\d+)?(?:[eE][+-]?\d+)?`;

/** A number, or a text that a template has put one into. */
const numeric = z
  .union(
    [
      z.number(),
      z
        .string()
        .regex(new RegExp(`^${NUMBER}$`))
        .transform(Number),
    ],
    {
      error: 'must be a number',
    },
  )
  .pipe(z.number().min(0));

/** A length of time in ms, or a text with its unit: "8 s", "250 ms". */
const duration = z
  .union(
    [
      z.number(),
      z
        .string()
        .regex(new RegExp(`^${NUMBER} (?:ms|s)$`))
        .transform((text) => {
          const [amount = '', unit] = text.split(' ');
          return Number(amount) * (unit === 's' ? MS_PER_S : 1);
        }),
    ],
    { error: 'must be a time, as "8 s" or "250 ms"' },
  )
  .pipe(z.number().min(0));

const relayOff = z.strictObject({
  enabled: z.literal(false),
});

const relayOn = z.strictObject({
  enabled: z
    .literal(true)
    .describe(
      "Whether requests are relayed on the users' platform, by its own routes; not by default.",
    ),
  keyRevocationMs: duration.describe('Longest time that a withdrawn key may work, ms.'),
  enginesCheckFences: z
    .boolean()
    .describe('Whether engines refuse orders with an old fencing number.'),
  retries: z
    .strictObject({
      ratio: numeric.describe('Retries for each request of a window.'),
      windowMs: duration.describe('Length of the window, ms.'),
      slack: numeric.describe('Retries allowed besides, over all VMs.'),
    })
    .describe('Bound on the retries at a service, over all entry VMs.'),
});

export const settingsSchema = z.strictObject({
  vm: z
    .strictObject({
      id: z
        .string()
        .regex(
          /^[A-Za-z0-9][A-Za-z0-9._-]{0,252}$/,
          'must be letters, digits, dots, dashes and underscores',
        )
        .describe('Name of this entry VM, unique in the deployment.'),
      dataCentre: z.string().min(1).describe('Data centre that this entry VM is in.'),
    })
    .describe('Identity of the entry VM.'),
  listen: z
    .strictObject({
      callers: address.describe('Where callers connect, through the balancer.'),
      peers: address.describe('Where other entry VMs connect.'),
      peersAdvertised: address
        .optional()
        .describe('Where other entry VMs reach the peer listener, if it is not where it listens.'),
      admin: address.describe('Health, metrics and status.'),
    })
    .describe('Addresses; port 0 lets the operating system choose.'),
  platform: z
    .strictObject({
      address: address.describe("The platform's object API."),
      timeoutMs: z.int().min(10).default(1000).describe('Longest wait for one call, ms.'),
    })
    .describe('The platform.'),
  peers: z.array(address).default([]).describe('Peers to try before the platform lists any.'),
  lease: z
    .strictObject({
      durationMs: z.int().min(500).default(3000).describe('Length of the steward lease, ms.'),
      marginMs: z.int().min(50).default(500).describe('Wait beyond it before a takeover, ms.'),
    })
    .prefault({}),
  limits: z
    .strictObject({
      bodyBytes: z.int().min(1024).default(1_048_576).describe('Largest request body, bytes.'),
      frameBytes: z.int().min(4096).default(4_194_304).describe('Largest peer frame, bytes.'),
      headerBytes: z.int().min(1024).default(16_384).describe('Largest request headers, bytes.'),
      queue: z.int().min(1).default(5000).describe('Most waiting requests on this entry VM.'),
      slowSenderMs: z.int().min(100).default(10_000).describe('Longest wait for a request, ms.'),
    })
    .prefault({}),
  stop: z
    .strictObject({
      noticeMs: z.int().min(0).default(2000).describe('Time for the balancer to notice, ms.'),
      graceMs: duration.prefault(120_000).describe('Longest wait for running requests, ms.'),
    })
    .prefault({}),
  relay: z
    .discriminatedUnion('enabled', [relayOff, relayOn])
    .default({ enabled: false })
    .describe("Relaying on the users' platform."),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
    })
    .prefault({}),
});

/** Settings of a daemon, checked and complete. */
export type Settings = z.infer<typeof settingsSchema>;
/** Settings of a daemon that relays on the users' platform. */
export type RelaySettings = Settings & { readonly relay: z.infer<typeof relayOn> };
