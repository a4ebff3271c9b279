import { toSnapshot } from '@sequoiaquay/core';
import type { FleetShape } from './fleet-builder';
import type { Slope } from './slope';
import { FleetBuilder, teamName, vmName } from './fleet-builder';
import { measureSlope } from './slope';

const VM_SIZES = [10, 100, 670];
const POOL_SIZES = [10, 100, 389];
const ENTRY_SIZES = [8, 32, 128];
const BASE: FleetShape = { entries: 8, pools: 10, teams: 5, vms: 10 };

/** Slopes of the state, the records and the bytes that the fold and the log see. */
export function stateSlopes(): Slope[] {
  return [
    measureSlope('snapshot-bytes-per-vm', 'bytes', VM_SIZES, (vms) => snapshotBytes({ ...BASE, vms })),
    measureSlope('snapshot-bytes-per-pool', 'bytes', POOL_SIZES, (pools) =>
      snapshotBytes({ ...BASE, pools, teams: pools }),
    ),
    measureSlope('snapshot-bytes-per-entry-vm', 'bytes', ENTRY_SIZES, (entries) =>
      snapshotBytes({ ...BASE, entries }),
    ),
    measureSlope(
      'records-per-maintained-vm-per-entry',
      'records',
      ENTRY_SIZES,
      (entries) => maintenance(entries).records,
    ),
    measureSlope(
      'bytes-per-maintained-vm-per-entry',
      'bytes',
      ENTRY_SIZES,
      (entries) => maintenance(entries).bytes,
    ),
    measureSlope('bytes-per-settings-change-per-pool', 'bytes', [1, 3, 10], (pools) =>
      settingsChangeBytes(pools),
    ),
  ];
}

function snapshotBytes(shape: FleetShape): number {
  return JSON.stringify({ ...toSnapshot(new FleetBuilder(shape).state), recentIds: [] }).length;
}

function maintenance(entries: number): { bytes: number; records: number } {
  const fleet = new FleetBuilder({ ...BASE, entries });
  const before = { bytes: fleet.bytes, records: fleet.records };
  fleet.maintain(vmName(0));
  return { bytes: fleet.bytes - before.bytes, records: fleet.records - before.records };
}

function settingsChangeBytes(pools: number): number {
  const fleet = new FleetBuilder({ ...BASE, pools, teams: 1 });
  const before = fleet.bytes;
  fleet.changeSettings(teamName(0));
  return fleet.bytes - before;
}
