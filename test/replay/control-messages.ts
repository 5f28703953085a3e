/** Encoded sizes of the messages between members and a steward, in a fleet of 63 engines. */
import * as frames from '../../src/core/messages/index.js';
import { type RelayMessage, RelayMessageType } from '../../src/entry/relay/messages.js';
import { SharedMessage } from '../../src/entry/relay/packed-messages.js';

const ENGINES = Array.from({ length: 63 }, (_, at) => `engine-${at}.dc-1`);
const CUSTOMERS = Array.from({ length: 16 }, (_, at) => `customer-${at}`);

/** Bytes of a message on the wire if it is deflated. */
export function packedSizeOf(message: RelayMessage): number {
  return new SharedMessage(message).packed.length;
}

/** Bytes of a message on the wire. */
export function sizeOf(message: RelayMessage): number {
  return frames.encodeBody(message).length;
}

/** Bytes of a welcome, which names the message types that the steward understands. */
export const WELCOME_BYTES = sizeOf({
  type: RelayMessageType.welcome,
  vm: 'vm-1',
  fence: 3,
  issuesSlots: true,
  knownTypes: Object.values(RelayMessageType),
});

function sample<T>(all: readonly T[], count: number, from: number): readonly T[] {
  return Array.from({ length: count }, (_, at) => all[(from + at * 7) % all.length] as T);
}

/** A report with its rate shares, or without them. */
export function report(vm: number, hasShares = true): RelayMessage {
  return {
    type: RelayMessageType.report,
    vm: `vm-${vm}`,
    address: `10.0.0.${vm}:7000`,
    dataCentre: 'dc-1',
    sentAtMs: 1234.5678 + vm,
    clockMs: 2345.6789 + vm,
    planRevision: 1,
    appliedSeq: 100,
    shares: hasShares
      ? CUSTOMERS.map((customer, at) => ({
          customer,
          fraction: 0.0123 + at / 1_000,
          demandPerS: 123.456 + at,
          usualUnits: 731.25 + at,
          largestUnits: 1500.5 + at,
        }))
      : null,
    running: sample(ENGINES, 6, vm).map((server, at) => ({
      server,
      model: `model-${at}`,
      adapter: null,
      running: 1 + at,
    })),
    waits: sample(ENGINES, 2, vm).map((_, at) => ({
      service: 'streams',
      model: `model-${at}`,
      adapter: null,
      version: null,
      waiting: 2,
      dueInMs: 180.25,
    })),
    usage: [{ model: 'model-1', requests: 2 }],
    returned: {},
    unreachable: [],
    reached: sample(ENGINES, 6, vm).map((server) => ({ server, ageMs: 12.3456 })),
    connected: [{ service: 'streams', ageMs: 12.3456 }],
    partitioned: [],
    leaving: false,
    usesSlots: true,
    knownTypes: null,
  };
}

export const GRANT: RelayMessage = {
  type: RelayMessageType.grant,
  seq: 100,
  reportSentAtMs: 1234.5678,
  reportClockMs: 2345.6789,
  fractions: Object.fromEntries(CUSTOMERS.map((customer, at) => [customer, 0.0123 + at / 1_000])),
  plan: { revision: 12, ageMs: 123.456 },
  backends: { revision: 345, ageMs: 123.456 },
  planRevision: 1,
};

export const CONFIRMATION: RelayMessage = {
  type: RelayMessageType.confirm,
  reportClockMs: 2345.6789,
  plan: { revision: 12, ageMs: 123.456 },
  backends: { revision: 345, ageMs: 123.456 },
  planRevision: 1,
};

/** A view with the engines of 4 models each: all of them, or changed ones. */
export function view(changed: number, peers: number, runningAt = 0): RelayMessage {
  return {
    type: RelayMessageType.view,
    whole: changed === ENGINES.length,
    engines: ENGINES.slice(0, changed).map((id) => ({
      id,
      bornMs: 1_765_000_000_000,
      models: Array.from({ length: 4 }, (_, at) => ({
        name: `model-${at}`,
        adapters: ['adapter-1', 'adapter-2'],
      })),
    })),
    running: Object.fromEntries(ENGINES.slice(0, runningAt).map((id, at) => [id, at])),
    loads: sample(ENGINES, 2, 0).map((_, at) => ({
      service: 'streams',
      model: `model-${at}`,
      adapter: null,
      version: 'v1',
      readyInMs: 1234.5,
    })),
    members: 84,
    mayUseReserve: false,
    peers: Array.from({ length: peers }, (_, at) => ({
      vm: `vm-${at}`,
      address: `10.0.0.${at}:7000`,
      dataCentre: 'dc-1',
      unreachable: [],
      partitioned: [],
      leaving: false,
    })),
    unreached: [],
  };
}

export const SERVER_LIST: RelayMessage = {
  type: RelayMessageType.beliefs,
  whole: true,
  servers: ENGINES.map((id) => ({
    id,
    service: 'streams',
    address: '10.1.0.1:8000',
    dataCentre: 'dc-1',
    version: 'v1',
    leaving: false,
    slots: 16,
    bornMs: 1_765_000_000_000,
    isMissing: false,
  })),
  gone: [],
  revision: 345,
  ageMs: 12.3456,
};

/** A renewed lease, whose note has an allowance for each member; 0 members for none. */
export function lease(members: number): RelayMessage {
  return {
    type: RelayMessageType.lease,
    lease: {
      holder: 'vm-1',
      address: '10.0.0.1:7000',
      epoch: 3,
      durationMs: 2_000,
      note:
        members === 0
          ? null
          : Object.fromEntries(Array.from({ length: members }, (_, at) => [`vm-${at}`, 0.2])),
      heir: { vm: 'vm-2', address: '10.0.0.2:7000', epoch: 4 },
      era: 0,
      renewal: 7,
    },
    version: 12,
    leftMs: 1999.5,
    isGivenUp: false,
  };
}
