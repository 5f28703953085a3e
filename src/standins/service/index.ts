/** Stand-in for a plain service: records orders, serves stock lookups and counts its runs. */
import { createHash } from 'node:crypto';
import * as clock from '../../core/clock/index.js';
import * as standinHttp from '../http/index.js';

export interface ServiceFaults {
  /** Delay of each response, ms. */
  slowMs: number;
  /** Number of upcoming orders that run but get no response. */
  loseAnswers: number;
  /** Number of upcoming requests whose connection is closed before they run. */
  dropRequests: number;
}

export interface ServiceCounters {
  /** Number of runs of each order, by the `order` in its body. */
  readonly runs: Readonly<Record<string, number>>;
  readonly requests: number;
  /** Names of all received headers. */
  readonly headersSeen: readonly string[];
  /** API keys that were found in requests. */
  readonly keysSeen: readonly string[];
}

/** Format of API keys; no backend server may receive one. */
const KEY_PATTERN = /bsk_[A-Za-z0-9_-]+/g;

/** Starts a plain service stand-in that listens at `listen`. */
export function start(listen: string): Promise<standinHttp.StandinServer> {
  const faults: ServiceFaults = { slowMs: 0, loseAnswers: 0, dropRequests: 0 };
  const runs: Record<string, number> = {};
  const headersSeen = new Set<string>();
  const keysSeen = new Set<string>();
  let requests = 0;
  const counters = () => ({
    runs,
    requests,
    headersSeen: [...headersSeen],
    keysSeen: [...keysSeen],
  });

  return standinHttp.serve(listen, async (req, res) => {
    if (standinHttp.handleControl(req, res, faults, counters)) return;
    requests += 1;
    Object.keys(req.headers).forEach((name) => headersSeen.add(name));
    const text = `${req.url.href}\n${JSON.stringify(req.headers)}\n${req.body.toString('utf8')}`;
    text.match(KEY_PATTERN)?.forEach((key) => keysSeen.add(key));
    if (faults.dropRequests > 0) {
      faults.dropRequests -= 1;
      res.destroy();
      return;
    }
    if (req.method !== 'GET' && req.method !== 'HEAD') {
      const { order = 'unnamed' } = JSON.parse(req.body.toString('utf8') || '{}') as {
        order?: string;
      };
      runs[order] = (runs[order] ?? 0) + 1;
      if (faults.slowMs > 0) await clock.sleep(faults.slowMs);
      if (faults.loseAnswers > 0) {
        faults.loseAnswers -= 1;
        res.destroy();
        return;
      }
      standinHttp.sendJson(res, 201, { order, recorded: runs[order] });
      return;
    }
    if (faults.slowMs > 0) await clock.sleep(faults.slowMs);
    const digest = createHash('sha256').update(req.url.pathname).digest('hex');
    standinHttp.sendJson(res, 200, { path: req.url.pathname, digest });
  });
}
