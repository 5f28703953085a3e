/** Stand-in for a network path: a TCP proxy that can be cut and healed. */
import * as net from 'node:net';

export interface NetworkLink {
  /** Address to which clients connect. */
  readonly address: string;
  /** Address to which connections are forwarded; empty until the target listens. */
  target: string;
  /** Closes all connections and rejects new ones until `heal` is called. */
  cut(): void;
  heal(): void;
  close(): Promise<void>;
}

/** Starts a link that listens on a port chosen by the operating system. */
export async function start(target: string): Promise<NetworkLink> {
  const sockets = new Set<net.Socket>();
  let isCut = false;
  const link = { target };
  const server = net.createServer((inbound) => {
    if (isCut || link.target === '') {
      inbound.destroy();
      return;
    }
    const [host, port] = link.target.split(':');
    const outbound = net.connect({ host, port: Number(port), noDelay: true });
    inbound.setNoDelay(true);
    [inbound, outbound].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        sockets.delete(socket);
        inbound.destroy();
        outbound.destroy();
      });
    });
    inbound.pipe(outbound).pipe(inbound);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    get target() {
      return link.target;
    },
    set target(next: string) {
      link.target = next;
    },
    cut() {
      isCut = true;
      sockets.forEach((socket) => socket.destroy());
    },
    heal() {
      isCut = false;
    },
    async close() {
      sockets.forEach((socket) => socket.destroy());
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
    },
  };
}
