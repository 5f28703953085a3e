/** `npm run bench`: measures the overhead of a daemon over direct calls to the same stand-ins. */
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
/** Tokens per streamed completion. */
const STREAM_TOKENS = 200;
const STREAMS = 300;

/** Latency and throughput of a measurement. */
interface LatencyStats {
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Calls per second. */
  readonly perS: number;
}

/** Runs `count` calls, `parallel` of them concurrently. */
async function measureCalls(
  count: number,
  parallel: number,
  call: () => Promise<void>,
): Promise<LatencyStats> {
  const histogram = hdr.build({
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  const startMs = performance.now();
  let remaining = count;
  const worker = async (): Promise<void> => {
    while (remaining > 0) {
      remaining -= 1;
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
  const daemonAddress = fleet.entries[0]?.process.started.callersAddress ?? '';
  const serviceAddress = fleet.services[0]?.started.address ?? '';
  const engineAddress = fleet.engines.get('engine')?.started.address ?? '';
  const headers = { authorization: `Bearer ${KEY}` };
  const get = (url: string) => async () => {
    const { body, statusCode } = await undici.request(url, { dispatcher: agent, headers });
    await body.dump();
    if (statusCode !== 200) throw new Error(`${url} responded with status ${statusCode}`);
  };
  const complete = (address: string, tokens: number) => async () => {
    const { body, statusCode } = await undici.request(`http://${address}/v1/completions`, {
      dispatcher: agent,
      method: 'POST',
      headers,
      body: JSON.stringify({ model: 'm', prompt: 'p', max_tokens: tokens, stream: true }),
    });
    await body.dump({ limit: 100_000_000 });
    if (statusCode !== 200) throw new Error(`${address} responded with status ${statusCode}`);
  };
  await complete(daemonAddress, 1)();
  await measureCalls(1_000, 8, get(`http://${daemonAddress}/services/desk/stock/1`));
  const rows: Record<string, LatencyStats> = {};
  rows['stock, direct, 4 concurrent'] = await measureCalls(
    REQUESTS,
    4,
    get(`http://${serviceAddress}/stock/1`),
  );
  rows['stock, through a daemon, 4 concurrent'] = await measureCalls(
    REQUESTS,
    4,
    get(`http://${daemonAddress}/services/desk/stock/1`),
  );
  rows['stock, through a daemon, 64 concurrent'] = await measureCalls(
    REQUESTS,
    64,
    get(`http://${daemonAddress}/services/desk/stock/1`),
  );
  rows[`stream of ${STREAM_TOKENS}, direct`] = await measureCalls(
    STREAMS,
    16,
    complete(engineAddress, STREAM_TOKENS),
  );
  rows[`stream of ${STREAM_TOKENS}, through a daemon`] = await measureCalls(
    STREAMS,
    16,
    complete(daemonAddress, STREAM_TOKENS),
  );
  console.table(rows);
  await agent.close();
} finally {
  await fleet.stop();
}
