/** Tells an entry VM what the steward follows in the store, so that it need not ask the store. */
import type { BackendServer } from '../../decisions/fleet-plan/index.js';
import {
  type ListedServer,
  type RelayMessage,
  type RelayMessageOf,
  RelayMessageType,
} from './messages.js';

/** A VM that lacks the newest plan for so many reports can't fetch it from the store. */
const REPORTS_WITHOUT_PLAN = 2;

function listed(server: BackendServer): ListedServer {
  const { id, service, address, dataCentre, leaving, slots, bornMs } = server;
  return { id, service, address, dataCentre, leaving, slots, bornMs };
}

/** The list of backend servers as a text for each, made anew only when the list has changed. */
export class ListedTexts {
  private list: ReadonlyMap<string, BackendServer> | null = null;

  private texts: ReadonlyMap<string, string> = new Map();

  of(list: ReadonlyMap<string, BackendServer>): ReadonlyMap<string, string> {
    if (list !== this.list) {
      this.list = list;
      this.texts = new Map([...list].map(([id, server]) => [id, JSON.stringify(listed(server))]));
    }
    return this.texts;
  }
}

/** What one entry VM has been told. */
export class BeliefTeller {
  private told: ReadonlyMap<string, string> | null = null;

  private reportsBehind = 0;

  /** The change of the list since the VM was told last; null where there is none. */
  listChange(
    list: ReadonlyMap<string, BackendServer>,
    texts: ReadonlyMap<string, string>,
    revision: number,
  ): RelayMessage | null {
    const before = this.told;
    if (before === texts) return null;
    const changed = [...texts].filter(([id, text]) => before?.get(id) !== text);
    const gone = [...(before?.keys() ?? [])].filter((id) => !texts.has(id));
    this.told = texts;
    if (before !== null && changed.length === 0 && gone.length === 0) return null;
    const servers = changed.flatMap(([id]) => {
      const server = list.get(id);
      return server === undefined ? [] : [listed(server)];
    });
    return { type: RelayMessageType.beliefs, whole: before === null, servers, gone, revision };
  }

  /** The message could not be sent: all is told again. */
  forget(): void {
    this.told = null;
  }

  /** Whether the VM should be sent the plan, which it could not fetch. */
  lacksPlan(report: RelayMessageOf<'report'>, planRevision: number): boolean {
    this.reportsBehind = report.planRevision < planRevision ? this.reportsBehind + 1 : 0;
    return this.reportsBehind > REPORTS_WITHOUT_PLAN;
  }
}
