/** Builds the server list updates for entry VMs, so that they need not call the platform store. */
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import {
  type ListedServer,
  type RelayMessage,
  type RelayMessageOf,
  RelayMessageType,
} from './messages.js';
import type { Freshness } from './store-watcher.js';

/**
 * Maximum number of consecutive reports with an outdated plan. A VM that sends more counts as cut
 * off from the store.
 */
const MAX_REPORTS_BEHIND = 2;

/** The steward's list of backend servers. */
export interface ServerList {
  readonly backends: ReadonlyMap<string, BackendServer>;
  /** Ids of servers missing from the store after its outage, retained during a grace period. */
  readonly missing: ReadonlySet<string>;
}

/** A server as it is sent, with its JSON for comparison. */
interface SentServer {
  readonly server: ListedServer;
  readonly text: string;
}

type SentList = ReadonlyMap<string, SentServer>;

function toEntry(server: BackendServer, isMissing: boolean): SentServer {
  const { id, service, address, dataCentre, version, leaving, slots, bornMs } = server;
  const listed = { id, service, address, dataCentre, version, leaving, slots, bornMs, isMissing };
  return { server: listed, text: JSON.stringify(listed) };
}

/** Caches the list in the form in which it is sent; rebuilds it when the steward's list changes. */
export class ServerListCache {
  private source: ServerList | null = null;

  private list: SentList = new Map();

  listFor({ backends, missing }: ServerList): SentList {
    if (backends !== this.source?.backends || missing !== this.source.missing) {
      this.source = { backends, missing };
      this.list = new Map(
        [...backends].map(([id, server]) => [id, toEntry(server, missing.has(id))]),
      );
    }
    return this.list;
  }
}

/** Tracks the list that was last sent to one entry VM, and builds the next update for the VM. */
export class ServerListPublisher {
  /** The list last sent; null if the full list is to be sent. */
  private lastSent: SentList | null = null;

  /** Number of consecutive reports with an older plan than the steward's. */
  private reportsBehind = 0;

  /** A message with the changes since the list last sent; null if there are none. */
  nextUpdate(list: SentList, { revision, ageMs }: Freshness): RelayMessage | null {
    const before = this.lastSent;
    if (before === list) return null;
    const changed = [...list].filter(([id, { text }]) => before?.get(id)?.text !== text);
    const gone = [...(before?.keys() ?? [])].filter((id) => !list.has(id));
    this.lastSent = list;
    if (before !== null && changed.length === 0 && gone.length === 0) return null;
    const servers = changed.map(([, { server }]) => server);
    const whole = before === null;
    return { type: RelayMessageType.beliefs, whole, servers, gone, revision, ageMs };
  }

  /** Makes the next update a full list, because a message could not be sent. */
  resendAll(): void {
    this.lastSent = null;
  }

  /** Whether to send the VM the plan, because it can't fetch it from the store. */
  needsPlan(report: RelayMessageOf<'report'>, planVersion: number): boolean {
    this.reportsBehind = report.planRevision < planVersion ? this.reportsBehind + 1 : 0;
    return this.reportsBehind > MAX_REPORTS_BEHIND;
  }
}
