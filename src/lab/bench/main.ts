/** `npm run bench`: what a daemon adds to a call, against the same stand-in called directly. */
import * as hdr from 'hdr-histogram-js';
import * as undici from 'undici';
import { digestOf } from '../../entry/gateway/authenticate.js';
import { Fleet, type FleetSpec } from '../fleet/index.js';

const KEY = 'bsk_bench';
const spec: FleetSpec = {
  dataCentres: ['a'],
  entryVms: 1,
  engines: [{ id: 'engine', dataCentre: 'a', fencing: true, memoryMb: 40_000, slots: 4_096 }],
  services: [{ name: 'desk', dataCentre: 'a' }],
  weightsMbPerS: 100_000,
  tokenMs: 0,
};
const REQUESTS = 6_000;
const STREAM_TOKENS = 200;
const STREAMS = 300;

interface Figures {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly perS: number;
}

/** Keeps `parallel` calls under way until `count` are done. */
async function drive(count: number, parallel: number, call: () => Promise<void>): Promise<Figures> {
  const histogram = hdr.build({
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  const startMs = performance.now();
  let left = count;
  const worker = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const sentMs = performance.now();
      await call();
      histogram.recordValue(Math.max(1, Math.round((performance.now() - sentMs) * 1_000)));
    }
  };
  await Promise.all(Array.from({ length: parallel }, worker));
  return {
    p50Ms: histogram.getValueAtPercentile(50) / 1_000,
    p99Ms: histogram.getValueAtPercentile(99) / 1_000,
    perS: count / ((performance.now() - startMs) / 1_000),
  };
}

const fleet = await Fleet.start(spec, [
  { path: '/services/drafting', values: { kind: 'model' } },
  { path: '/services/drafting/models/m', values: { bytesMb: 1_000 } },
  { path: '/services/desk', values: { kind: 'plain' } },
  { path: '/customers/c', values: { ratePerS: 1e9, burst: 1e9 } },
  { path: '/customers/c/keys/k', values: { sha256: digestOf(KEY) } },
]);
try {
  await fleet.settle();
  const agent = new undici.Agent({ connections: 128 });
  const entry = fleet.entries[0]?.process.started.callersAddress ?? '';
  const desk = fleet.services[0]?.started.address ?? '';
  const engine = fleet.engines.get('engine')?.started.address ?? '';
  const headers = { authorization: `Bearer ${KEY}` };
  const get = (url: string) => async () => {
    const { body, statusCode } = await undici.request(url, { dispatcher: agent, headers });
    await body.dump();
    if (statusCode !== 200) throw new Error(`${url} answered ${statusCode}`);
  };
  const complete = (address: string, tokens: number) => async () => {
    const { body, statusCode } = await undici.request(`http://${address}/v1/completions`, {
      dispatcher: agent,
      method: 'POST',
      headers,
      body: JSON.stringify({ model: 'm', prompt: 'p', max_tokens: tokens, stream: true }),
    });
    await body.dump({ limit: 100_000_000 });
    if (statusCode !== 200) throw new Error(`${address} answered ${statusCode}`);
  };
  await complete(entry, 1)();
  await drive(1_000, 8, get(`http://${entry}/services/desk/stock/1`));
  const rows: Record<string, Figures> = {};
  rows['stock, direct, 4 at once'] = await drive(REQUESTS, 4, get(`http://${desk}/stock/1`));
  rows['stock, through a daemon, 4 at once'] = await drive(
    REQUESTS,
    4,
    get(`http://${entry}/services/desk/stock/1`),
  );
  rows['stock, through a daemon, 64 at once'] = await drive(
    REQUESTS,
    64,
    get(`http://${entry}/services/desk/stock/1`),
  );
  rows[`stream of ${STREAM_TOKENS}, direct`] = await drive(
    STREAMS,
    16,
    complete(engine, STREAM_TOKENS),
  );
  rows[`stream of ${STREAM_TOKENS}, through a daemon`] = await drive(
    STREAMS,
    16,
    complete(entry, STREAM_TOKENS),
  );
  console.table(rows);
  await agent.close();
} finally {
  await fleet.stop();
}
