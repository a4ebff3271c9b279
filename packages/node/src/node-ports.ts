import type { AdviceService } from './ports/advice-service';
import type { FleetCodec } from './ports/fleet-codec';
import type { KeyedStream } from './ports/keyed-stream';
import type { VmService } from './ports/vm-service';
import type { WorkerLink } from './ports/worker-link';

/** Ports of a node to the services of the platform. */
export interface NodePorts {
  /** Undefined if there is no advice service. */
  advice: AdviceService | undefined;
  codec: FleetCodec;
  /** Submitted jobs, their states and the leader's heartbeats; written by all nodes. */
  jobs: KeyedStream;
  link: WorkerLink;
  /** Configurations and waves; written by the operators. */
  operators: KeyedStream;
  /** Registry of the workers; written by the workers. */
  registry: KeyedStream;
  /** Terms and assignments of tasks; written by the leader. */
  runs: KeyedStream;
  /** Reports to the operators; written by the leader. */
  status: KeyedStream;
  /** Undefined if there is no VM service. */
  vms: VmService | undefined;
}
