/** Stand-in of a network path: forwards TCP until it is cut. */
import * as net from 'node:net';

export interface NetworkLink {
  /** Address that clients use. */
  readonly address: string;
  /** Where connections go; set once the target listens. */
  target: string;
  /** Ends all connections and takes no new ones until it is healed. */
  cut(): void;
  heal(): void;
  close(): Promise<void>;
}

/** A path that listens on a port of the operating system's choice. */
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
