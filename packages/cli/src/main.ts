import { cac } from 'cac';

const cli = cac('sequoiaquay');
cli.help();
cli.parse();
