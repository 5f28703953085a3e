/**
 * Collects the pieces of a message.
 *
 * Node.js gives each piece as an object of its own, which takes some hundred bytes of the heap and
 * keeps the whole buffer that it was read into. A message that arrives in pieces of a few bytes would
 * take a hundred times its length, so the pieces are copied into blocks.
 */

const FIRST_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

export class ByteCollector {
  /** All but the last one are full. */
  private blocks: Buffer[] = [];

  private lastUsed = 0;

  private collected = 0;

  private held = 0;

  /** Bytes that have been collected. */
  get length(): number {
    return this.collected;
  }

  /** Bytes of memory for them, at most twice their number and a first block. */
  get heldBytes(): number {
    return this.held;
  }

  push(piece: Buffer): void {
    const last = this.blocks.at(-1);
    const copied = last === undefined ? 0 : piece.copy(last, this.lastUsed);
    this.lastUsed += copied;
    this.collected += piece.length;
    if (copied < piece.length) this.addBlock(piece.subarray(copied));
  }

  /** Returns all bytes, and begins again without any. */
  take(): Buffer {
    const [only, ...others] = this.blocks;
    const bytes =
      only !== undefined && others.length === 0
        ? only.subarray(0, this.collected)
        : Buffer.concat(this.blocks, this.collected);
    this.clear();
    return bytes;
  }

  clear(): void {
    this.blocks = [];
    this.lastUsed = 0;
    this.collected = 0;
    this.held = 0;
  }

  private addBlock(rest: Buffer): void {
    const nextBytes = Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, this.held));
    const block = Buffer.allocUnsafeSlow(Math.max(rest.length, nextBytes));
    this.lastUsed = rest.copy(block);
    this.blocks.push(block);
    this.held += block.length;
  }
}
