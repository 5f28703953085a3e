/** `bilberrystand serve`: runs a daemon. */
import { defineCommand } from 'citty';
import { createLogger, type Logger } from '../../core/logger/index.js';
import { isRelay } from '../../core/settings/index.js';
import { stopOnUncaught } from '../../core/uncaught/index.js';
import { startRelay } from '../../entry/relay/wire.js';
import { startDaemon } from '../../entry/wire.js';
import * as platform from '../../../platform/index.js';
import { signals } from '../signals/index.js';
import { ExitCode, printFailure } from '../shared/index.js';
import { awaitSettings } from './await-settings.js';

function exitFailed(): void {
  process.exit(ExitCode.failed);
}

function exitOk(): void {
  process.exit(ExitCode.ok);
}

function handleSignals(logger: Logger, stop: () => void): void {
  signals?.handle((signal) => {
    if (signal === 'SIGTERM') stop();
    // The file is not read again: its settings apply for the lifetime of the process.
    else logger.info('settings-signal');
  });
}

export const serveCommand = defineCommand({
  meta: { name: 'serve', description: 'Run the daemon of an entry VM.' },
  args: {
    settings: { type: 'string', required: true, description: 'Settings file (TOML).' },
  },
  async run({ args }) {
    const settings = await awaitSettings(args.settings, {
      isStopping: () => signals?.isStopping === true,
      onInvalid: ({ message }) =>
        createLogger('serve', 'info').warn('settings-awaited', {
          path: args.settings,
          reason: message,
        }),
    });
    if (settings.isErr) {
      if (signals?.isStopping !== true) printFailure(settings.error);
      return;
    }
    const logger = createLogger(settings.value.vm.id, settings.value.log.level);
    if (isRelay(settings.value)) {
      const relay = startRelay(settings.value, platform.createWire(), logger);
      const stop = async () => (await relay).stop();
      // Before the start is complete, since its tasks already handle events.
      stopOnUncaught(process, { logger, stop, exit: exitFailed });
      handleSignals(logger, () => {
        void stop().then(exitOk);
      });
      await relay;
      return;
    }
    const daemon = await startDaemon(settings.value, logger);
    const { callersAddress, peersAddress, adminAddress } = daemon;
    console.log(JSON.stringify({ event: 'started', callersAddress, peersAddress, adminAddress }));
    stopOnUncaught(process, { logger, stop: () => daemon.stop(false), exit: exitFailed });
    let stops = 0;
    const stop = () => {
      stops += 1;
      void daemon.stop(stops > 1).then(exitOk);
    };
    handleSignals(logger, stop);
    process.on('SIGINT', stop);
  },
});
