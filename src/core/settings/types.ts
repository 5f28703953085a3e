/** Schema of a daemon's settings file. */
import { z } from 'zod';

const address = z
  .string()
  .regex(
    /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
    'must be an IPv4 address and port, such as 10.0.0.1:8080',
  );

const MS_PER_S = 1000;
/** A number in any notation that a template may render: 8, 0.25, 1e-05. */
const NUMBER = String.raw`[+-]?\d+(?:\.\d+)?(?:[eE][+-]?\d+)?`;

/** A number, or a string with a number that a template has rendered. */
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

/** A link rate that may be unknown: a template renders a missing value as nothing, or leaves its name. */
const linkRate = z
  .union(
    [
      z
        .string()
        .regex(/^(?:\{\{.*\}\})?$/)
        .transform(() => undefined),
      numeric,
    ],
    { error: 'must be a number' },
  )
  .transform((mbps) => (mbps === 0 ? undefined : mbps));

/** A duration in ms, or a string with a number and its unit: "8 s", "250 ms". */
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
    { error: 'must be a duration, such as "8 s" or "250 ms"' },
  )
  .pipe(z.number().min(0));

const relayOff = z.strictObject({
  enabled: z.literal(false),
});

const relayOn = z.strictObject({
  enabled: z
    .literal(true)
    .describe(
      "Whether requests are relayed on the users' platform, by its routes; off by default.",
    ),
  keyRevocationMs: duration.describe('Maximum time for which a revoked key is still accepted, ms.'),
  enginesCheckFences: z
    .boolean()
    .describe('Whether engines reject orders with an outdated fencing token.'),
  evacuateMs: duration
    .optional()
    .describe(
      'Maximum time after which an evacuated data centre gets no more requests, ms; without it, evacuations are not watched.',
    ),
  retries: z
    .strictObject({
      ratio: numeric.describe('Retries allowed per request of the window.'),
      windowMs: duration.describe('Length of the window, ms.'),
      slack: numeric.describe('Additional retries allowed per window, over all entry VMs.'),
    })
    .describe('Limit on the retries of requests to a service, over all entry VMs.'),
  cold: z
    .strictObject({
      overage: numeric
        .default(1.5)
        .describe('Requests that a cold server may get in a second, as a multiple of its rate.'),
      slack: numeric.default(5).describe('Additional requests that it may get in a second.'),
    })
    .prefault({})
    .describe('Limit on the requests to cold servers, over all entry VMs.'),
  memory: z
    .strictObject({
      responseMb: z
        .number()
        .min(16)
        .default(64)
        .describe('Memory for the responses of backend servers, over all requests, MB.'),
      requestMb: z
        .number()
        .min(16)
        .default(48)
        .describe('Memory for the bodies of requests, over all requests, MB.'),
    })
    .prefault({}),
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
      linkMbps: linkRate
        .optional()
        .describe('Rate of its network link, Mbit/s; unknown if it is not set.'),
      region: z
        .string()
        .min(1)
        .optional()
        .describe('Region that this entry VM is in; that of its data centre by default.'),
    })
    .describe('Identity of the entry VM.'),
  regions: z.record(z.string(), z.string()).default({}).describe('Region of each data centre.'),
  listen: z
    .strictObject({
      callers: address.describe('Address for callers, which connect through the load balancer.'),
      peers: address.describe('Address for connections from other entry VMs.'),
      peersAdvertised: address
        .optional()
        .describe('Address of the peer listener as seen by other entry VMs, if it differs.'),
      admin: address.describe('Address for health checks, metrics and status.'),
    })
    .describe('Addresses; port 0 lets the operating system choose.'),
  platform: z
    .strictObject({
      address: address.describe("Address of the platform's object API."),
      timeoutMs: z.int().min(10).default(1000).describe('Time-out of a call, ms.'),
    })
    .describe('Access to the platform.'),
  peers: z
    .array(address)
    .default([])
    .describe("Peers to connect to before the platform's VM list has been read."),
  lease: z
    .strictObject({
      durationMs: z.int().min(500).default(3000).describe('Duration of the steward lease, ms.'),
      marginMs: z
        .int()
        .min(50)
        .default(500)
        .describe('Wait after its expiry before a takeover, ms.'),
    })
    .prefault({}),
  limits: z
    .strictObject({
      bodyBytes: z.int().min(1024).default(1_048_576).describe('Largest request body, bytes.'),
      frameBytes: z.int().min(4096).default(4_194_304).describe('Largest peer frame, bytes.'),
      headerBytes: z.int().min(1024).default(16_384).describe('Largest request headers, bytes.'),
      queue: z
        .int()
        .min(1)
        .default(5000)
        .describe('Maximum number of queued requests on this entry VM.'),
      slowSenderMs: z
        .int()
        .min(100)
        .default(10_000)
        .describe('Time-out for receiving a request, ms.'),
    })
    .prefault({}),
  stop: z
    .strictObject({
      noticeMs: z
        .int()
        .min(0)
        .default(2000)
        .describe('Time for the load balancer to stop sending requests, ms.'),
      graceMs: duration.prefault(120_000).describe('Maximum wait for running requests, ms.'),
    })
    .prefault({}),
  relay: z
    .discriminatedUnion('enabled', [relayOff, relayOn])
    .default({ enabled: false })
    .describe("Relay mode on the users' platform."),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
    })
    .prefault({}),
});

/** Validated settings of a daemon, with defaults applied. */
export type Settings = z.infer<typeof settingsSchema>;
/** Settings of a daemon in relay mode. */
export type RelaySettings = Settings & { readonly relay: z.infer<typeof relayOn> };
