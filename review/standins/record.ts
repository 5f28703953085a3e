/** Writes `record.txt` of a case: what was sent, answered and run, with the time since the start. */
import * as fs from 'node:fs';

export class Recorder {
  private readonly startedAtMs = performance.now();

  constructor(private readonly file: string) {
    fs.writeFileSync(file, '');
  }

  /** Time since the start of the script, s. */
  get nowS(): number {
    return (performance.now() - this.startedAtMs) / 1_000;
  }

  note(who: string, text: string): void {
    fs.appendFileSync(this.file, `${this.nowS.toFixed(3).padStart(8)} s  ${who}: ${text}\n`);
  }
}
