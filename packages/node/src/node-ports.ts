import type { AdviceService } from './ports/advice-service';
import type { FleetCodec } from './ports/fleet-feed';
import type { KeyedStream } from './ports/keyed-stream';
import type { VmService } from './ports/vm-service';
import type { WorkerLink } from './ports/worker-link';

/** Services of the platform that a node uses. */
export interface NodePorts {
  advice: AdviceService | undefined;
  codec: FleetCodec;
  jobs: KeyedStream;
  link: WorkerLink;
  operators: KeyedStream;
  registry: KeyedStream;
  runs: KeyedStream;
  status: KeyedStream;
  vms: VmService | undefined;
}
