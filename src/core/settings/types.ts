/** The settings file of a daemon. */
import { z } from 'zod';

const address = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'must be an IPv4 address and port, as 10.0.0.1:8080');

export const settingsSchema = z.strictObject({
  vm: z
    .strictObject({
      id: z
        .string()
        .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and dashes')
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
      graceMs: z.int().min(0).default(120_000).describe('Longest wait for running requests, ms.'),
    })
    .prefault({}),
  relay: z
    .strictObject({
      enabled: z
        .boolean()
        .default(false)
        .describe("Whether requests are relayed on the users' platform, by its own routes."),
      keyRevocationMs: z
        .int()
        .min(1000)
        .default(5000)
        .describe('Longest time that a withdrawn key may work, ms.'),
      enginesCheckFences: z
        .boolean()
        .default(false)
        .describe('Whether engines refuse orders with an old fencing number.'),
      retries: z
        .strictObject({
          ratio: z.number().min(0).default(0.1).describe('Retries for each request of a window.'),
          windowMs: z.int().min(1000).default(10_000).describe('Length of the window, ms.'),
          slack: z.int().min(0).default(20).describe('Retries allowed besides, over all VMs.'),
        })
        .prefault({})
        .describe('Bound on the retries at a service, over all entry VMs.'),
    })
    .prefault({})
    .describe("Relaying on the users' platform."),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
    })
    .prefault({}),
});

/** Settings of a daemon, checked and complete. */
export type Settings = z.infer<typeof settingsSchema>;
