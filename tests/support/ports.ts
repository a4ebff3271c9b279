export { freePorts } from '@sequoiaquay/stand-ins';
