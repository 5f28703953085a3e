import * as http from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import * as httpServers from '../../../src/core/http/index.js';
import { GateMode, ServerGates } from '../../soak/server-gates.js';

/** How a request ended: its status, or the code of its error. */
function request(address: string, agent: http.Agent | false): Promise<number | string> {
  return new Promise((resolve) => {
    const req = http.get(`http://${address}/`, { agent, timeout: 300 }, (res) => {
      res.resume().on('end', () => resolve(res.statusCode ?? 0));
    });
    req.on('timeout', () => {
      const code = req.socket?.connecting === true ? 'connect timeout' : 'response timeout';
      req.destroy(Object.assign(new Error(), { code }));
    });
    req.on('error', (err: NodeJS.ErrnoException) => resolve(err.code ?? err.message));
  });
}

describe('gates between a VM and the servers', () => {
  /** Another one than that of the server. */
  const HOST = '127.0.0.2';
  const gates = { current: new ServerGates(HOST) };
  let server: http.Server;
  let agent: http.Agent;
  let address: string;
  let served = 0;

  beforeEach(async () => {
    server = http.createServer((_req, res) => {
      served += 1;
      res.end('ok');
    });
    agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    gates.current = new ServerGates(HOST);
    const direct = await httpServers.listen(server, '127.0.0.1:0');
    await gates.current.add(direct);
    address = direct.replace('127.0.0.1', HOST);
    expect(await request(address, agent)).toBe(200);
  });

  afterEach(async () => {
    agent.destroy();
    await gates.current.stop();
    await httpServers.close(server);
  });

  it('hold back bytes and connections while they hang, and pass them on afterwards', async () => {
    await gates.current.setMode(GateMode.hang);
    expect(await request(address, false)).toBe('connect timeout');
    expect(await request(address, agent)).toBe('response timeout');
    await gates.current.setMode(GateMode.open);
    expect(await request(address, false)).toBe(200);
  });

  it('reset connections and refuse new ones', async () => {
    await gates.current.setMode(GateMode.reset);
    expect(await request(address, false)).toBe('ECONNREFUSED');
    expect(['ECONNRESET', 'ECONNREFUSED']).toContain(await request(address, agent));
    await gates.current.setMode(GateMode.open);
    expect(await request(address, false)).toBe(200);
  });

  it('serve established connections while they refuse new ones', async () => {
    await gates.current.setMode(GateMode.refuseNew);
    expect(await request(address, false)).toBe('ECONNREFUSED');
    expect(await request(address, agent)).toBe(200);
    // Bytes were once relayed twice on connections that had lived on.
    await gates.current.setMode(GateMode.open);
    const before = served;
    expect(await request(address, agent)).toBe(200);
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    expect(served - before).toBe(1);
  });
});
