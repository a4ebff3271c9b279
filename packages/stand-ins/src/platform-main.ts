import { listen } from '@sequoiaquay/runtime';
import { cac } from 'cac';
import { PlatformStandIn } from './platform-stand-in';

const cli = cac('stand-in-platform');
cli.option('--listen <address>', 'host:port', { default: '127.0.0.1:7100' });
cli.option('--secret <secret>', 'shared secret of the test', { default: 'test-secret' });
cli.option('--seed <seed>', 'seed of the faults', { default: 1 });
cli.option('--retention <records>', 'records kept in each stream', { default: 1_000_000 });
cli.option('--appends-per-second <n>', 'appends accepted per second', { default: 400 });
cli.option('--vm-list-lag-ms <ms>', 'lag of the VM list', { default: 1000 });
cli.option('--reboot-ms <ms>', 'duration of a reboot', { default: 500 });
const { options } = cli.parse();

const standIn = new PlatformStandIn({
  appendsPerSecond: Number(options.appendsPerSecond),
  rebootMs: Number(options.rebootMs),
  retentionRecords: Number(options.retention),
  secret: String(options.secret),
  seed: Number(options.seed),
  vmListLagMs: Number(options.vmListLagMs),
});
await listen(standIn.app, String(options.listen));
