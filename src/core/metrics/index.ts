/** Counters, gauges and histograms per label set, exported in the Prometheus text format. */
import * as hdr from 'hdr-histogram-js';

const QUANTILES = [0.5, 0.95, 0.99] as const;
/** Largest histogram value: ten minutes in microseconds. Longer durations are recorded as this. */
const MAX_VALUE_US = 600_000_000;

/** Label values by label name. */
type Labels = Readonly<Record<string, string>>;

export interface Metrics {
  count(name: string, labels?: Labels, by?: number): void;
  gauge(name: string, value: number, labels?: Labels): void;
  /** Records a duration in milliseconds. */
  time(name: string, ms: number, labels?: Labels): void;
  /** Quantile (0 to 1) of all recorded durations, in milliseconds; 0 if there are none. */
  quantileMs(name: string, quantile: number, labels?: Labels): number;
  /** Renders all metrics in the Prometheus text format; durations are in seconds. */
  render(): string;
}

function escapeLabel(value: string): string {
  return value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
}

function series(name: string, labels: Labels): string {
  const pairs = Object.entries(labels).map(([label, value]) => `${label}="${escapeLabel(value)}"`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
}

class Registry implements Metrics {
  private readonly numbers = new Map<string, number>();

  private readonly histograms = new Map<
    string,
    { name: string; labels: Labels; histogram: hdr.Histogram }
  >();

  count(name: string, labels: Labels = {}, by = 1): void {
    const key = series(name, labels);
    this.numbers.set(key, (this.numbers.get(key) ?? 0) + by);
  }

  gauge(name: string, value: number, labels: Labels = {}): void {
    this.numbers.set(series(name, labels), value);
  }

  time(name: string, ms: number, labels: Labels = {}): void {
    const key = series(name, labels);
    let entry = this.histograms.get(key);
    if (entry === undefined) {
      const histogram = hdr.build({
        bitBucketSize: 32,
        highestTrackableValue: MAX_VALUE_US,
        numberOfSignificantValueDigits: 2,
      });
      entry = { name, labels, histogram };
      this.histograms.set(key, entry);
    }
    entry.histogram.recordValue(Math.min(MAX_VALUE_US, Math.max(1, Math.round(ms * 1000))));
  }

  quantileMs(name: string, quantile: number, labels: Labels = {}): number {
    const entry = this.histograms.get(series(name, labels));
    return (entry?.histogram.getValueAtPercentile(quantile * 100) ?? 0) / 1000;
  }

  render(): string {
    const plain = [...this.numbers].map(([key, value]) => `${key} ${value}`);
    const timed = [...this.histograms.values()].flatMap(({ name, labels, histogram }) => [
      ...QUANTILES.map((quantile) => {
        const seconds = histogram.getValueAtPercentile(quantile * 100) / 1e6;
        return `${series(`${name}_seconds`, { ...labels, quantile: String(quantile) })} ${seconds}`;
      }),
      `${series(`${name}_seconds_count`, labels)} ${histogram.totalCount}`,
    ]);
    return `${[...plain, ...timed].sort().join('\n')}\n`;
  }
}

/** Creates an empty registry. */
export function createMetrics(): Metrics {
  return new Registry();
}
