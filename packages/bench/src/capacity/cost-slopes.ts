import { fromSnapshot, toSnapshot } from '@sequoiaquay/core';
import type { Slope } from './slope';
import { DESIGN_FLEET_SIZE, FleetBuilder, teamName, vmName } from './fleet-builder';
import { measureSlope } from './slope';

const VM_COUNTS = [10, 100, 670];
const ROUND_COUNT = 200;
const US_PER_MS = 1000;

/** Measures slopes of elapsed time, which vary between runs and machines and so aren't compared with the page. */
export function costSlopes(): Slope[] {
  return [
    measureSlope(
      'us-per-drain-per-vm',
      'µs',
      VM_COUNTS,
      (vms) =>
        measureCostUs(vms, (fleet, round) => {
          fleet.rebootVm(vmName(round % vms));
        }),
      false,
    ),
    measureSlope(
      'us-per-settings-change-per-vm',
      'µs',
      VM_COUNTS,
      (vms) =>
        measureCostUs(vms, (fleet, round) => {
          fleet.changeSettings(teamName(round % DESIGN_FLEET_SIZE.teams));
        }),
      false,
    ),
    measureSlope(
      'us-per-snapshot-per-vm',
      'µs',
      VM_COUNTS,
      (vms) =>
        measureCostUs(vms, (fleet) => {
          fromSnapshot(JSON.parse(JSON.stringify(toSnapshot(fleet.state))));
        }),
      false,
    ),
  ];
}

function measureCostUs(vms: number, operation: (fleet: FleetBuilder, round: number) => void): number {
  const fleet = new FleetBuilder({ ...DESIGN_FLEET_SIZE, entries: 8, vms });
  for (let round = 0; round < ROUND_COUNT; round += 1) {
    operation(fleet, round);
  }
  const startedAt = performance.now();
  for (let round = 0; round < ROUND_COUNT; round += 1) {
    operation(fleet, round);
  }
  return ((performance.now() - startedAt) * US_PER_MS) / ROUND_COUNT;
}
