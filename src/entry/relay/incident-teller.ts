/** Tells an entry VM the incidents that all should know of, each once. */
import { type AgedIncident, incidentKey } from '../../decisions/suspects/index.js';
import { type RelayMessage, RelayMessageType } from './messages.js';

/** The steward's incidents, as its entry VM keeps them. */
export interface SharedIncidents {
  /** Rises with every change of what is shared. */
  readonly sharedVersion: number;
  /** Incidents of requests that have several. */
  shared(): readonly AgedIncident[];
}

export class IncidentTeller {
  private told: ReadonlySet<string> = new Set();

  private version = -1;

  /** What the VM has not been told yet; null where there is nothing. */
  news(incidents: SharedIncidents): RelayMessage | null {
    if (incidents.sharedVersion === this.version) return null;
    this.version = incidents.sharedVersion;
    const shared = incidents.shared();
    const unheard = shared.filter((incident) => !this.told.has(incidentKey(incident)));
    this.told = new Set(shared.map(incidentKey));
    if (unheard.length === 0) return null;
    return { type: RelayMessageType.incidents, incidents: unheard };
  }

  /** The message could not be sent: all is told again. */
  forget(): void {
    this.told = new Set();
    this.version = -1;
  }
}
