/**
 * Which message types the build of another entry VM understands.
 *
 * During an upgrade, builds of several versions exchange messages. Builds that do not name the types
 * that they understand close the connection on a message of any other type, so a type is sent only to
 * a VM that understands it. A VM names its types in its first report on a connection, and the steward
 * in its welcome.
 */
import { RelayMessageType } from './messages.js';
import { RelayedMessageType } from './relayed-messages.js';

type MessageTypes = ReadonlySet<string>;

/** Types that all builds understand; sent before the other end has named its types. */
export const EARLIEST_TYPES: MessageTypes = new Set([
  RelayMessageType.report,
  RelayMessageType.ask,
  RelayMessageType.welcome,
  RelayMessageType.noOffice,
  RelayMessageType.view,
  RelayMessageType.grant,
  RelayMessageType.lent,
  RelayMessageType.beliefs,
  RelayMessageType.plan,
  RelayMessageType.incidents,
  RelayMessageType.ranWhole,
  RelayMessageType.lease,
  RelayMessageType.throttles,
  RelayMessageType.permitRequest,
  RelayMessageType.permits,
  RelayMessageType.permitReturn,
  RelayMessageType.streams,
]);

/** Types that builds with slots understand, of which the first ones do not name their types. */
export const SLOT_BUILD_TYPES: MessageTypes = new Set([
  ...EARLIEST_TYPES,
  ...Object.values(RelayedMessageType),
  RelayMessageType.slotNeeds,
  RelayMessageType.slots,
]);

/** Types that this build understands. */
export const OWN_TYPES: readonly string[] = Object.values(RelayMessageType);

const RELAYED_TYPES: MessageTypes = new Set(Object.values(RelayedMessageType));

const OWN_TYPE_SET: MessageTypes = new Set(OWN_TYPES);

/** Whether this build understands a type. */
export function isOwnType(type: string): boolean {
  return OWN_TYPE_SET.has(type);
}

/** Whether the loss of a message is tolerated; on relayed connections it would leave a gap. */
export function mayBeLost(type: string): boolean {
  return !RELAYED_TYPES.has(type);
}

/**
 * The types that the other end understands.
 * @param named The types that it has named; null if it has named none.
 * @param hasSlots Whether its build has slots of brittle servers.
 */
export function understoodTypes(named: readonly string[] | null, hasSlots: boolean): MessageTypes {
  if (named !== null) return new Set([...EARLIEST_TYPES, ...named]);
  return hasSlots ? SLOT_BUILD_TYPES : EARLIEST_TYPES;
}
