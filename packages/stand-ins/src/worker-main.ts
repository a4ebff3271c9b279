import { listen } from '@sequoiaquay/runtime';
import { cac } from 'cac';
import { WorkerStandIn } from './worker-stand-in';

const cli = cac('stand-in-worker');
cli.option('--listen <address>', 'host:port', { default: '127.0.0.1:7400' });
cli.option('--name <name>', 'name returned in responses', { default: 'worker' });
cli.option('--secret <secret>', 'shared secret of the test', { default: 'test-secret' });
cli.option('--processors <n>', 'processors', { default: 16 });
cli.option('--memory-mb <n>', 'memory in MB', { default: 65_536 });
cli.option('--accelerators <n>', 'accelerators', { default: 0 });
cli.option('--usage-lag-ms <ms>', 'age of the reported usage', { default: 200 });
const { options } = cli.parse();

const standIn = new WorkerStandIn({
  capacity: {
    accelerators: Number(options.accelerators),
    memoryMb: Number(options.memoryMb),
    processors: Number(options.processors),
  },
  name: String(options.name),
  secret: String(options.secret),
  usageLagMs: Number(options.usageLagMs),
});
standIn.start();
await listen(standIn.app, String(options.listen));
