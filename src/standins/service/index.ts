/** Stand-in of a plain service: records orders, answers stock lookups, counts what it ran. */
import { createHash } from 'node:crypto';
import * as clock from '../../core/clock/index.js';
import * as standinHttp from '../http/index.js';

export interface ServiceFaults {
  /** Delay before an answer, ms. */
  slowMs: number;
  /** Answers that are lost after the request ran, from now on. */
  loseAnswers: number;
  /** Requests whose connection ends before they run, from now on. */
  dropRequests: number;
}

export interface ServiceCounters {
  /** Times that each order ran, by the `order` in its body. */
  readonly runs: Readonly<Record<string, number>>;
  readonly requests: number;
  /** Names of all headers that came, and values that look like keys. */
  readonly headersSeen: readonly string[];
  readonly keysSeen: readonly string[];
}

/** Keys of the product start so; no backend server may see one. */
const KEY_PATTERN = /bsk_[A-Za-z0-9_-]+/g;

/** A plain service stand-in that listens at `listen`. */
export function start(listen: string): Promise<standinHttp.Listener> {
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
