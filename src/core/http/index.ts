/** Starts and stops HTTP servers. */
import type * as http from 'node:http';
import type { AddressInfo } from 'node:net';

/**
 * Listens on an IPv4 address and port; port 0 lets the operating system choose.
 *
 * @returns The address and port that the server is bound to.
 */
export async function listen(server: http.Server, address: string): Promise<string> {
  const [host = '127.0.0.1', port = '0'] = address.split(':');
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, () => {
      server.off('error', reject);
      resolve();
    });
  });
  return `${host}:${(server.address() as AddressInfo).port}`;
}

/** Closes all connections and stops listening. */
export async function close(server: http.Server | null): Promise<void> {
  if (server === null) return;
  server.closeAllConnections();
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
}
