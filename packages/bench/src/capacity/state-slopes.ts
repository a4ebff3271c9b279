import { toSnapshot } from '@sequoiaquay/core';
import type { FleetSize } from './fleet-builder';
import type { Slope } from './slope';
import { FleetBuilder, teamName, vmName } from './fleet-builder';
import { measureSlope } from './slope';

const VM_COUNTS = [10, 100, 670];
const POOL_COUNTS = [10, 100, 389];
const ENTRY_COUNTS = [8, 32, 128];
const BASE_FLEET_SIZE: FleetSize = { entries: 8, pools: 10, teams: 5, vms: 10 };

/** Measures slopes of the size of the fleet snapshot and of the records appended to the log. */
export function stateSlopes(): Slope[] {
  return [
    measureSlope('snapshot-bytes-per-vm', 'bytes', VM_COUNTS, (vms) =>
      measureSnapshotBytes({ ...BASE_FLEET_SIZE, vms }),
    ),
    measureSlope('snapshot-bytes-per-pool', 'bytes', POOL_COUNTS, (pools) =>
      measureSnapshotBytes({ ...BASE_FLEET_SIZE, pools, teams: pools }),
    ),
    measureSlope('snapshot-bytes-per-entry-vm', 'bytes', ENTRY_COUNTS, (entries) =>
      measureSnapshotBytes({ ...BASE_FLEET_SIZE, entries }),
    ),
    measureSlope(
      'records-per-maintained-vm-per-entry',
      'records',
      ENTRY_COUNTS,
      (entries) => measureReboot(entries).records,
    ),
    measureSlope(
      'bytes-per-maintained-vm-per-entry',
      'bytes',
      ENTRY_COUNTS,
      (entries) => measureReboot(entries).bytes,
    ),
    measureSlope('bytes-per-settings-change-per-pool', 'bytes', [1, 3, 10], (pools) =>
      measureSettingsChangeBytes(pools),
    ),
  ];
}

function measureSnapshotBytes(size: FleetSize): number {
  return JSON.stringify({ ...toSnapshot(new FleetBuilder(size).state), recentIds: [] }).length;
}

function measureReboot(entries: number): { bytes: number; records: number } {
  const fleet = new FleetBuilder({ ...BASE_FLEET_SIZE, entries });
  const before = { bytes: fleet.recordBytes, records: fleet.recordCount };
  fleet.rebootVm(vmName(0));
  return { bytes: fleet.recordBytes - before.bytes, records: fleet.recordCount - before.records };
}

function measureSettingsChangeBytes(pools: number): number {
  const fleet = new FleetBuilder({ ...BASE_FLEET_SIZE, pools, teams: 1 });
  const before = fleet.recordBytes;
  fleet.changeSettings(teamName(0));
  return fleet.recordBytes - before;
}
