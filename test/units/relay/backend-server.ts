/** Test fixture: a backend server with default fields that a test can override. */
import type { BackendServer } from '../../../src/decisions/fleet-plan/index.js';

export function createBackendServer(
  id: string,
  fields: Partial<BackendServer> = {},
): BackendServer {
  return {
    id,
    service: 'drafting',
    address: '10.0.0.1:80',
    dataCentre: 'a',
    version: 'v1',
    leaving: false,
    slots: 8,
    orderCount: 0,
    bornMs: 1,
    models: [],
    copies: { inMemory: [], onDisk: [] },
    ...fields,
  };
}
