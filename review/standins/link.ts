/** A link of an entry VM to the platform's store or to a peer, which can be cut without a reset. */
import * as net from 'node:net';

/** One connection over the link. */
interface Pair {
  readonly near: net.Socket;
  readonly far: net.Socket;
}

export class Link {
  /** Called with the bytes that the entry VM sends while the link is whole. */
  onSent: ((bytes: Buffer) => void) | null = null;

  private isCut = false;

  private readonly pairs = new Set<Pair>();

  private readonly server = net.createServer({ pauseOnConnect: true }, (near) => this.join(near));

  /**
   * @param translations Addresses that the target names, each with the one at which the entry VM
   * reaches it over a link of its own. Both have the same length.
   */
  constructor(
    private readonly target: string,
    private readonly translations: ReadonlyMap<string, string> = new Map(),
  ) {}

  async start(address = '127.0.0.1:0'): Promise<string> {
    const [host = '', port = '0'] = address.split(':');
    await new Promise<void>((resolve) => {
      this.server.listen(Number(port), host, resolve);
    });
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
    this.pairs.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
  }

  /** Holds all bytes up, in both directions. */
  cut(): void {
    this.isCut = true;
    this.pairs.forEach(({ near, far }) => {
      near.pause();
      far.pause();
    });
  }

  heal(): void {
    this.isCut = false;
    this.pairs.forEach(({ near, far }) => {
      near.resume();
      far.resume();
    });
  }

  private join(near: net.Socket): void {
    const [host = '', port = '0'] = this.target.split(':');
    const far = net.connect({ host, port: Number(port) });
    const pair = { near, far };
    this.pairs.add(pair);
    const end = () => {
      this.pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    near.on('data', (bytes: Buffer) => {
      this.onSent?.(bytes);
      far.write(bytes);
    });
    far.on('data', (bytes: Buffer) => near.write(this.translate(bytes)));
    [near, far].forEach((socket) => {
      socket.on('error', end);
      socket.on('close', end);
    });
    if (this.isCut) far.pause();
    else near.resume();
  }

  private translate(bytes: Buffer): Buffer {
    if (this.translations.size === 0) return bytes;
    const text = [...this.translations].reduce(
      (before, [from, to]) => before.replaceAll(from, to),
      bytes.toString('latin1'),
    );
    return Buffer.from(text, 'latin1');
  }
}
