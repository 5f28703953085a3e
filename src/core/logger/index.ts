/** Structured logging as JSON lines. Loggers are passed as arguments; there is no global one. */
import { Logger as TsLogger } from 'tslog';
import { lineWriterFor } from './line-writer.js';

/** Fields of a log line besides time, level, label and event. */
export type LogFields = Readonly<Record<string, unknown>>;

/** A logger that adds its label to each line. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** Creates a logger whose label is this logger's label, a dot and `label`. */
  child(label: string): Logger;
}

const LEVELS = { debug: 2, info: 3, warn: 4, error: 5, silent: 6 } as const;
export type LogLevel = keyof typeof LEVELS;

function wrap(logger: TsLogger<unknown>, label: string): Logger {
  const write =
    (level: 'debug' | 'info' | 'warn' | 'error') =>
    (event: string, fields: LogFields = {}): void => {
      logger[level]({ label, event, ...fields });
    };
  return {
    debug: write('debug'),
    info: write('info'),
    warn: write('warn'),
    error: write('error'),
    child: (part) => wrap(logger, `${label}.${part}`),
  };
}

/** Formats one line with the time, the level and the fields of the event. */
function formatLine(entry: Record<string, unknown>): string {
  const meta = entry._meta as { readonly date: Date; readonly logLevelName: string };
  const fields = (entry[0] ?? entry) as Record<string, unknown>;
  const { _meta: ignored, ...rest } = fields;
  const time = meta.date.toISOString();
  return JSON.stringify({ time, level: meta.logLevelName, ...rest });
}

/** Creates the root logger of a process, which writes to standard output. */
export function createLogger(label: string, level: LogLevel): Logger {
  const logger = new TsLogger<unknown>({
    type: 'hidden',
    minLevel: LEVELS[level],
    hideLogPositionForProduction: true,
  });
  const writer = lineWriterFor(process.stdout);
  logger.attachTransport((entry: Record<string, unknown>) => writer.write(formatLine(entry)));
  return wrap(logger, label);
}
