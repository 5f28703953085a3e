/** Builds the messages with shared incidents for one entry VM; each incident is sent once. */
import { type AgedIncident, reportKey } from '../../decisions/suspects/index.js';
import { type RelayMessage, RelayMessageType } from './messages.js';

/** The incidents that all entry VMs should have. */
export interface SharedIncidents {
  /** Increases with every change of the shared incidents. */
  readonly sharedVersion: number;
  /** All incidents of each request that has several. */
  shared(): readonly AgedIncident[];
}

export class IncidentPublisher {
  /** Keys of the shared incidents that were sent. */
  private sentKeys: ReadonlySet<string> = new Set();

  /** The `sharedVersion` of the incidents that were sent. */
  private version = -1;

  /** A message with the incidents that were not sent yet; null if there are none. */
  nextMessage(incidents: SharedIncidents): RelayMessage | null {
    if (incidents.sharedVersion === this.version) return null;
    this.version = incidents.sharedVersion;
    const shared = incidents.shared();
    const unsent = shared.filter((incident) => !this.sentKeys.has(reportKey(incident)));
    this.sentKeys = new Set(shared.map(reportKey));
    if (unsent.length === 0) return null;
    return { type: RelayMessageType.incidents, incidents: unsent };
  }

  /** Makes the next message contain all shared incidents, because a message could not be sent. */
  resendAll(): void {
    this.sentKeys = new Set();
    this.version = -1;
  }
}
