import { fromSnapshot, toSnapshot } from '@sequoiaquay/core';
import type { Slope } from './slope';
import { FleetBuilder, TARGET_SHAPE, teamName, vmName } from './fleet-builder';
import { measureSlope } from './slope';

const VM_SIZES = [10, 100, 670];
const ROUNDS = 200;
const MICROSECONDS = 1000;

/** Slopes of processor time; they differ between runs and machines and aren't held against the page. */
export function costSlopes(): Slope[] {
  return [
    measureSlope(
      'us-per-drain-per-vm',
      'µs',
      VM_SIZES,
      (vms) =>
        costOf(vms, (fleet, round) => {
          fleet.maintain(vmName(round % vms));
        }),
      false,
    ),
    measureSlope(
      'us-per-settings-change-per-vm',
      'µs',
      VM_SIZES,
      (vms) =>
        costOf(vms, (fleet, round) => {
          fleet.changeSettings(teamName(round % TARGET_SHAPE.teams));
        }),
      false,
    ),
    measureSlope(
      'us-per-snapshot-per-vm',
      'µs',
      VM_SIZES,
      (vms) =>
        costOf(vms, (fleet) => {
          fromSnapshot(JSON.parse(JSON.stringify(toSnapshot(fleet.state))));
        }),
      false,
    ),
  ];
}

function costOf(vms: number, run: (fleet: FleetBuilder, round: number) => void): number {
  const fleet = new FleetBuilder({ ...TARGET_SHAPE, entries: 8, vms });
  for (let round = 0; round < ROUNDS; round += 1) {
    run(fleet, round);
  }
  const startedAt = performance.now();
  for (let round = 0; round < ROUNDS; round += 1) {
    run(fleet, round);
  }
  return ((performance.now() - startedAt) * MICROSECONDS) / ROUNDS;
}
