/** Fleet and settings of the demo, also used by `npm run capacity:rest`. */
import { digestOf } from '../../entry/gateway/authenticate.js';
import type { NodeEdit } from '../../decisions/settings-tree/index.js';
import type { FleetSpec } from '../fleet/index.js';

const DATA_CENTRES = ['costa-1', 'costa-2', 'costa-3'];

export const demoSpec: FleetSpec = {
  dataCentres: DATA_CENTRES,
  entryVms: 2,
  engines: DATA_CENTRES.flatMap((dataCentre) =>
    [1, 2].map((number) => ({
      id: `${dataCentre}-engine-${number}`,
      dataCentre,
      // One engine does not check fencing tokens.
      fencing: dataCentre !== 'costa-3' || number !== 2,
      memoryMb: 40_000,
      slots: 8,
    })),
  ),
  services: DATA_CENTRES.map((dataCentre) => ({ name: 'order-desk', dataCentre })),
  weightsMbPerS: 20_000,
  tokenMs: 2,
};

/** API keys of the demo's customers. */
export const DEMO_KEYS: Readonly<Record<string, string>> = {
  rodamax: 'bsk_demo_rodamax',
  'carritos-sur': 'bsk_demo_carritos_sur',
};

const MODELS = ['wheel-spec', 'fitting', 'tender'] as const;

export const demoEdits: readonly NodeEdit[] = [
  { path: '/services/drafting', values: { kind: 'model', deadlineMs: 20_000 } },
  { path: '/services/order-desk', values: { kind: 'plain', deadlineMs: 5_000 } },
  ...MODELS.map((name): NodeEdit => ({
    path: `/services/drafting/models/${name}`,
    values: { bytesMb: 16_000, class: name === 'tender' ? 'patient' : 'interactive' },
  })),
  {
    path: '/services/drafting/models/wheel-spec/adapters/wheel-spec-es',
    values: { bytesMb: 200 },
  },
  ...Object.entries(DEMO_KEYS).flatMap(([customer, key]): readonly NodeEdit[] => [
    { path: `/customers/${customer}`, values: { ratePerS: 4_000, burst: 20_000 } },
    { path: `/customers/${customer}/keys/demo`, values: { sha256: digestOf(key) } },
  ]),
];
