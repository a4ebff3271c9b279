import { readdirSync, readFileSync } from 'node:fs';
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'vitest';
import type { AttackKind } from './attack-load';
import type { NodeCluster, NodeVm } from './node-cluster';
import { AttackLoad } from './attack-load';
import { createJobId } from './node-cluster';

/** Memory of the smallest machine, in MB of 1,000,000 bytes, and number of descriptors of the node. */
export const MEMORY_MB = 250;
export const FILE_DESCRIPTORS = 1000;

/** Limits of the configuration of all sites. */
export const LIMITS = {
  header_timeout_ms: 3000,
  idle_timeout_ms: 15_000,
  max_body_bytes: 262_144,
  max_header_bytes: 16_384,
};

/** Settings of the smallest machine. */
export const SMALLEST_MACHINE = { fileDescriptors: FILE_DESCRIPTORS, memoryMb: MEMORY_MB };

/** Limits of the store, as on all sites. */
export const STORE_LIMITS = { storeCallBytes: 2_097_152, storeRecordBytes: 262_144 };

const SPECIFICATION = 'x'.repeat(4000);

/** Time after which a request counts as not answered, in ms. */
export const ANSWER_TIMEOUT_MS = 20_000;

/** Longest time of a test with an attack, in ms. */
export const TEST_TIMEOUT_MS = 120_000;

/** Delay from the start of the attack to the first ordinary request, in ms. */
const FIRST_REQUEST_MS = 500;

const SAMPLE_INTERVAL_MS = 50;
const BYTES_PER_KB = 1024;
const BYTES_PER_MB = 1_000_000;

/** Address of a node that is attacked. */
export type Port = 'callerPort' | 'metricsPort' | 'peerPort' | 'readinessPort';

/** What a node's process used at most, as the kernel reports it. */
interface ProcessUse {
  descriptors: number;
  /** Peak of the resident memory, in MB. */
  memoryMb: number;
}

/** What callers and the kernel saw of a node that was attacked. */
export interface Outcome extends ProcessUse {
  /** Statuses of ordinary requests while the attack is sent, while it is held open, and after it. */
  answers: number[];
  isAlive: boolean;
}

let jobCount = 0;

/** Submits an ordinary job to a node and returns the status. */
export async function submitOrdinary(cluster: NodeCluster, node: number): Promise<number> {
  jobCount += 1;
  const answer = await cluster.submit(node, createJobId(7, jobCount), SPECIFICATION, ANSWER_TIMEOUT_MS);
  return answer.status;
}

/** Watches a node's process until the returned function is called. */
export function watchProcess({ process }: NodeVm): () => ProcessUse & { isAlive: boolean } {
  const use = { descriptors: 0, isAlive: true, memoryMb: 0 };
  void process.exited.then(() => (use.isAlive = false));
  const sampling = setInterval(() => {
    readUse(process.pid, use);
  }, SAMPLE_INTERVAL_MS);
  return () => {
    clearInterval(sampling);
    readUse(process.pid, use);
    return use;
  };
}

/** Sends an attack to an address of a node, with ordinary requests beside and after it. */
export async function attack(
  cluster: NodeCluster,
  node: number,
  port: Port,
  kinds: readonly AttackKind[],
): Promise<Outcome> {
  const vm = cluster.getNode(node);
  const endWatch = watchProcess(vm);
  const load = new AttackLoad(vm[port], kinds);
  const sent = load.send();
  await delay(FIRST_REQUEST_MS);
  const answers = [await submitOrdinary(cluster, node)];
  await sent;
  answers.push(await submitOrdinary(cluster, node));
  load.close();
  answers.push(await submitOrdinary(cluster, node));
  const outcome = { ...endWatch(), answers };
  console.log(`${expect.getState().currentTestName}: ${JSON.stringify(outcome)}`);
  return outcome;
}

/** Checks that a node lives within its machine, and that ordinary requests were served. */
export function expectServed(outcome: Outcome): void {
  expectWithinMachine(outcome);
  expect.soft(outcome.answers).toEqual([200, 200, 200]);
}

/** Checks that a node lives within its machine. */
export function expectWithinMachine(use: ProcessUse & { isAlive: boolean }): void {
  expect.soft(use.isAlive).toBe(true);
  expect.soft(use.memoryMb).toBeLessThan(MEMORY_MB);
  expect.soft(use.descriptors).toBeLessThan(FILE_DESCRIPTORS);
}

/** Returns the term that a node leads; 0 if it does not lead. */
export async function ownEpoch(cluster: NodeCluster, node: number): Promise<number> {
  const epoch = /^sequoiaquay_leader_epoch (\d+)$/mu.exec(await cluster.metrics(node))?.[1];
  return Number(epoch ?? 0);
}

/** Waits until one of the first two nodes leads, and returns it. */
export async function findLeader(cluster: NodeCluster): Promise<number> {
  await expect
    .poll(async () => Math.max(await ownEpoch(cluster, 0), await ownEpoch(cluster, 1)), {
      timeout: ANSWER_TIMEOUT_MS,
    })
    .toBeGreaterThan(0);
  return (await ownEpoch(cluster, 0)) > 0 ? 0 : 1;
}

// A process that has ended has no figures; the earlier ones stay.
function readUse(pid: number, use: ProcessUse): void {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const peakKb = Number(/^VmHWM:\s+(\d+) kB$/mu.exec(status)?.[1] ?? 0);
    use.memoryMb = Math.max(use.memoryMb, Math.round((peakKb * BYTES_PER_KB) / BYTES_PER_MB));
    use.descriptors = Math.max(use.descriptors, readdirSync(`/proc/${pid}/fd`).length);
  } catch {
    return;
  }
}
