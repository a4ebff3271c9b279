/** Resources that one task reserves on a worker. */
export interface Demand {
  /** Processor time, in thousandths of a core. */
  cpuMilli: number;
  gpus: number;
  memoryMb: number;
}
