import { listen } from '@sequoiaquay/runtime';
import { cac } from 'cac';
import { ExecutorStandIn } from './executor-stand-in';

const cli = cac('stand-in-executor');
cli.option('--listen <address>', 'host:port', { default: '127.0.0.1:7200' });
cli.option('--name <name>', 'name returned in responses', { default: 'executor' });
const { options } = cli.parse();

const standIn = new ExecutorStandIn(String(options.name));
const server = await listen(standIn.app, String(options.listen));
server.on('connection', () => {
  standIn.countConnection();
});
