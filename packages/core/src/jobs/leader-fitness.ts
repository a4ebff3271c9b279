/** Resources of the machine of a node; undefined or 0 if not known. */
export interface MachineResources {
  /** Speed of a core relative to that of other machines. */
  cpuCores?: number | undefined;
  /** Share of a core that the node may use. */
  cpuShare?: number | undefined;
  /** Capacity of the link, in Mbit/s. */
  linkMbps?: number | undefined;
  /** Memory that the node may use, in MB. */
  memoryMb?: number | undefined;
}

/** Resources that weigh the same for a leader: cores at normal speed, link in Mbit/s and memory in MB. */
const UNIT = { cpu: 1, linkMbps: 20, memoryMb: 200 } as const;

/**
 * Returns how fit a machine is to lead, from 0: the amount of its scarcest resource, in units that weigh the
 * same. A resource that is not known does not count, since a site states it for all its machines or for
 * none. A machine of which nothing is known has fitness 0, so that it never displaces another leader.
 */
export function leaderFitness(machine: MachineResources): number {
  const { cpuCores, cpuShare, linkMbps, memoryMb } = machine;
  const known = [
    ((cpuShare ?? 0) * (isKnown(cpuCores) ? cpuCores : 1)) / UNIT.cpu,
    (linkMbps ?? 0) / UNIT.linkMbps,
    (memoryMb ?? 0) / UNIT.memoryMb,
  ].filter(isKnown);
  return known.length === 0 ? 0 : Math.min(...known);
}

function isKnown(amount: number | undefined): amount is number {
  return amount !== undefined && Number.isFinite(amount) && amount > 0;
}
