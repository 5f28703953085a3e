/** `bilberrystand standin`: runs stand-ins for external systems. */
import { defineCommand } from 'citty';
import * as engine from '../../standins/engine/index.js';
import type { Standin } from '../../standins/http/index.js';
import * as platform from '../../standins/platform/index.js';
import * as service from '../../standins/service/index.js';
import * as weights from '../../standins/weights/index.js';

const listenArg = {
  type: 'string',
  default: '127.0.0.1:0',
  description: 'Address to listen on; port 0 lets the operating system choose.',
} as const;

function announce({ address }: Standin): void {
  console.log(JSON.stringify({ event: 'started', address }));
}

const platformStandin = defineCommand({
  meta: { name: 'platform', description: "The platform's object API and VM list." },
  args: { listen: listenArg },
  async run({ args }) {
    announce(await platform.start(args.listen));
  },
});

const serviceStandin = defineCommand({
  meta: { name: 'service', description: 'A plain service with orders and stock.' },
  args: { listen: listenArg },
  async run({ args }) {
    announce(await service.start(args.listen));
  },
});

const weightsStandin = defineCommand({
  meta: { name: 'weights', description: 'The weight store.' },
  args: {
    listen: listenArg,
    mbPerS: { type: 'string', default: '1000', description: 'Throughput of a load, MB/s.' },
    latencyMs: { type: 'string', default: '5', description: 'Latency before each load, ms.' },
    adapterMs: { type: 'string', default: '5', description: 'Time to load an adapter, ms.' },
  },
  async run({ args }) {
    const opts = {
      mbPerS: Number(args.mbPerS),
      latencyMs: Number(args.latencyMs),
      adapterMs: Number(args.adapterMs),
    };
    announce(await weights.start(args.listen, opts));
  },
});

const engineStandin = defineCommand({
  meta: { name: 'engine', description: 'A model engine.' },
  args: {
    listen: listenArg,
    id: { type: 'string', required: true, description: 'Engine id.' },
    weights: { type: 'string', required: true, description: 'Address of the weight store.' },
    memoryMb: { type: 'string', default: '40000', description: 'Accelerator memory, MB.' },
    slots: { type: 'string', default: '8', description: 'Maximum number of concurrent requests.' },
    tokenMs: { type: 'string', default: '2', description: 'Time to generate a token, ms.' },
    prefillMs: { type: 'string', default: '5', description: 'Time before the first token, ms.' },
    fencing: { type: 'boolean', default: true, description: 'Reject outdated fencing tokens.' },
  },
  async run({ args }) {
    const opts: engine.EngineOptions = {
      engineId: args.id,
      weights: args.weights,
      memoryMb: Number(args.memoryMb),
      slots: Number(args.slots),
      tokenMs: Number(args.tokenMs),
      prefillMs: Number(args.prefillMs),
      fencing: args.fencing,
    };
    announce(await engine.start(args.listen, opts));
  },
});

export const standinCommand = defineCommand({
  meta: { name: 'standin', description: 'Run a stand-in.' },
  subCommands: {
    platform: platformStandin,
    service: serviceStandin,
    weights: weightsStandin,
    engine: engineStandin,
  },
});
