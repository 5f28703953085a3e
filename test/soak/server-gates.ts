/**
 * TCP proxies between one entry VM and the backend servers, which can partition the VM from all of
 * them while callers, the store and other VMs still reach it.
 *
 * VMs tell each other the addresses of servers, so that these are the same for all VMs. A gate listens
 * on its VM's own host, on the port of its server; a preloaded script makes the VM connect there.
 */
import * as net from 'node:net';
import { Worker } from 'node:worker_threads';

/** What a gate does with the connections of its VM. */
export const GateMode = {
  open: 'open',
  /** Bytes on established connections are held back, and new connections are never accepted. */
  hang: 'hang',
  /** Established connections are reset and new ones refused. */
  reset: 'reset',
  /** Established connections are served and new ones refused. */
  refuseNew: 'refuse-new',
} as const;
export type GateMode = (typeof GateMode)[keyof typeof GateMode];

/** Pending connections of a listener that accepts none; one more than this fills its queue. */
const BACKLOG = 1;
/** Host of the servers and of the store. */
const SERVER_HOST = '127.0.0.1';

/**
 * Script that the process of a VM preloads. It replaces the host of each server by that of the gates;
 * net.connect passes a list whose first element has the options.
 */
export const GATE_SCRIPT = `
  const net = require('node:net');
  const { connect } = net.Socket.prototype;
  const { GATE_HOST, GATE_STORE } = process.env;
  const isServer = ({ host, port }) =>
    host === '${SERVER_HOST}' && host + ':' + port !== GATE_STORE;
  net.Socket.prototype.connect = function gated(...args) {
    const [list] = args;
    if (Array.isArray(list) && isServer(list[0])) list[0] = { ...list[0], host: GATE_HOST };
    return connect.apply(this, args);
  };
`;

/** Listens on the ports and blocks its thread, so that no connection is accepted. */
const HANGING_LISTENERS = `
  const net = require('node:net');
  const { parentPort } = require('node:worker_threads');
  parentPort.once('message', ({ host, ports, backlog }) => {
    let left = ports.length;
    const block = () => {
      parentPort.postMessage('listening');
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
    };
    ports.forEach((port) => {
      net.createServer().listen({ host, port, backlog }, () => {
        left -= 1;
        if (left === 0) block();
      });
    });
  });
  parentPort.postMessage('ready');
`;

function nextMessage(worker: Worker): Promise<unknown> {
  return new Promise((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}

/** A connection through a gate. */
class GateConnection {
  private readonly server: net.Socket;

  private isHeld = true;

  constructor(
    private readonly vm: net.Socket,
    port: number,
    private readonly onClose: (conn: GateConnection) => void,
    onServerClosed: () => void,
  ) {
    this.server = net.connect({
      host: SERVER_HOST,
      port,
      allowHalfOpen: true,
      noDelay: true,
    });
    this.vm.setNoDelay(true);
    this.vm.on('error', () => this.reset());
    this.server.on('error', () => this.reset());
    this.vm.on('close', () => this.end(this.server));
    this.server.on('close', () => {
      this.end(this.vm);
      onServerClosed();
    });
    this.relay();
  }

  relay(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    this.vm.pipe(this.server);
    this.server.pipe(this.vm);
  }

  /** Stops reading on both sides: neither bytes nor the end of a connection get through. */
  hold(): void {
    this.isHeld = true;
    this.vm.unpipe().pause();
    this.server.unpipe().pause();
  }

  reset(): void {
    if (!this.vm.destroyed) this.vm.resetAndDestroy();
    if (!this.server.destroyed) this.server.resetAndDestroy();
    this.onClose(this);
  }

  private end(other: net.Socket): void {
    other.destroy();
    this.onClose(this);
  }
}

/** The proxy for one server; its listener closes for good once the server refuses a connection. */
class Gate {
  readonly connections = new Set<GateConnection>();

  private listener: net.Server | null = null;

  private isServerDown = false;

  constructor(
    private readonly host: string,
    private readonly port: number,
  ) {}

  /** Port on which connections are accepted again after a partition; null if the server is down. */
  get listeningPort(): number | null {
    return this.isServerDown ? null : this.port;
  }

  async listen(): Promise<void> {
    if (this.isServerDown || this.listener !== null) return;
    const listener = net.createServer({ allowHalfOpen: true }, (socket) => this.accept(socket));
    this.listener = listener;
    await new Promise<void>((resolve, reject) => {
      listener.once('error', reject);
      listener.listen(this.port, this.host, resolve);
    });
  }

  /** Refuses new connections. */
  async close(): Promise<void> {
    const { listener } = this;
    this.listener = null;
    if (listener === null) return;
    // The listener itself is closed at once; the callback would wait for its connections.
    listener.close();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  private accept(socket: net.Socket): void {
    const conn = new GateConnection(
      socket,
      this.port,
      (closed) => this.connections.delete(closed),
      () => this.checkServer(),
    );
    this.connections.add(conn);
  }

  /** Closes the gate if the server no longer accepts connections. */
  private checkServer(): void {
    if (this.isServerDown) return;
    const probe = net.connect({ host: SERVER_HOST, port: this.port }, () => probe.destroy());
    probe.on('error', () => {
      this.isServerDown = true;
      void this.close();
    });
  }
}

/** The gates of one entry VM, by server address. */
export class ServerGates {
  private readonly gates = new Map<string, Promise<Gate>>();

  private mode: GateMode = GateMode.open;

  private hanging: Worker | null = null;

  private readonly fillers: net.Socket[] = [];

  constructor(private readonly host: string) {}

  /** Creates the gate of a server if there is none; resolves once it listens. */
  async add(server: string): Promise<void> {
    const gate = this.gates.get(server) ?? this.create(server);
    this.gates.set(server, gate);
    await gate;
  }

  /** Changes the mode for all servers, also for those that start later. */
  async setMode(mode: GateMode): Promise<void> {
    this.mode = mode;
    const gates = await Promise.all(this.gates.values());
    const connections = gates.flatMap((gate) => [...gate.connections]);
    if (mode === GateMode.open) {
      await this.stopHanging();
      await Promise.all(gates.map((gate) => gate.listen()));
      connections.forEach((conn) => conn.relay());
      return;
    }
    if (mode === GateMode.hang) connections.forEach((conn) => conn.hold());
    if (mode === GateMode.reset) connections.forEach((conn) => conn.reset());
    if (mode === GateMode.hang) await this.startHanging(gates);
    else await Promise.all(gates.map((gate) => gate.close()));
  }

  async stop(): Promise<void> {
    await this.stopHanging();
    const gates = await Promise.all(this.gates.values());
    await Promise.all(gates.map((gate) => gate.close()));
    gates.forEach((gate) => [...gate.connections].forEach((conn) => conn.reset()));
  }

  /** A server that starts during a partition gets a port that refuses connections until its end. */
  private async create(server: string): Promise<Gate> {
    const gate = new Gate(this.host, Number(server.split(':')[1]));
    await gate.listen();
    if (this.mode !== GateMode.open) await gate.close();
    return gate;
  }

  /** Replaces the listeners by ones whose queues of pending connections are full. */
  private async startHanging(gates: readonly Gate[]): Promise<void> {
    const worker = new Worker(HANGING_LISTENERS, { eval: true });
    this.hanging = worker;
    await nextMessage(worker);
    const ports = gates.flatMap(({ listeningPort }) => listeningPort ?? []);
    await Promise.all(gates.map((gate) => gate.close()));
    const listening = nextMessage(worker);
    worker.postMessage({ host: this.host, ports, backlog: BACKLOG });
    await listening;
    ports.forEach((port) => {
      for (let at = 0; at <= BACKLOG; at += 1) this.fill(port);
    });
  }

  private fill(port: number): void {
    const socket = net.connect({ host: this.host, port });
    // Reset when the listener closes.
    socket.on('error', () => socket.destroy());
    this.fillers.push(socket);
  }

  private async stopHanging(): Promise<void> {
    await this.hanging?.terminate();
    this.hanging = null;
    this.fillers.splice(0).forEach((socket) => socket.destroy());
  }
}
