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

/** What the steward knows of the list of backend servers. */
export interface KnownList {
  readonly backends: ReadonlyMap<string, BackendServer>;
  readonly missing: ReadonlySet<string>;
}

/** A server as it is told, with a text to compare by. */
interface Told {
  readonly server: ListedServer;
  readonly text: string;
}

type ToldList = ReadonlyMap<string, Told>;

function asTold(server: BackendServer, isMissing: boolean): Told {
  const { id, service, address, dataCentre, leaving, slots, bornMs } = server;
  const listed = { id, service, address, dataCentre, leaving, slots, bornMs, isMissing };
  return { server: listed, text: JSON.stringify(listed) };
}

/** The list as it is told, made anew only when it has changed. */
export class ToldLists {
  private of: KnownList | null = null;

  private list: ToldList = new Map();

  at({ backends, missing }: KnownList): ToldList {
    if (backends !== this.of?.backends || missing !== this.of.missing) {
      this.of = { backends, missing };
      this.list = new Map(
        [...backends].map(([id, server]) => [id, asTold(server, missing.has(id))]),
      );
    }
    return this.list;
  }
}

/** What one entry VM has been told. */
export class BeliefTeller {
  private told: ToldList | null = null;

  private reportsBehind = 0;

  /** The change of the list since the VM was told last; null where there is none. */
  listChange(list: ToldList, revision: number): RelayMessage | null {
    const before = this.told;
    if (before === list) return null;
    const changed = [...list].filter(([id, { text }]) => before?.get(id)?.text !== text);
    const gone = [...(before?.keys() ?? [])].filter((id) => !list.has(id));
    this.told = list;
    if (before !== null && changed.length === 0 && gone.length === 0) return null;
    const servers = changed.map(([, { server }]) => server);
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
