import type { FleetState } from '@sequoiaquay/core';
import type { FleetReplica } from '@sequoiaquay/platform';
import type { Server } from 'node:http';
import { ClaimTable, emptyFleetState, rendezvousOwner, TaskTable } from '@sequoiaquay/core';
import { EventRing, listen, mountRpc, SystemTimerService } from '@sequoiaquay/runtime';
import { Hono } from 'hono';
import type { GrantRequest } from '../../src/grant-source';
import type { LiveEntry } from '../../src/live-members';
import type { Queueing } from '../../src/queueing';
import { ClaimLookup } from '../../src/claim-lookup';
import { createEntryStatus } from '../../src/entry-status';
import { InFlight } from '../../src/in-flight';
import { LeavingVms } from '../../src/leaving-vms';
import { PeerClients } from '../../src/peer-clients';
import { createPeerRouter } from '../../src/peer-router';
import { createQueueing } from '../../src/queueing';
import { ResultCache } from '../../src/result-cache';
import { TargetHealth } from '../../src/target-health';

const SECRET = 'secret';
const timers = new SystemTimerService();

/** Pool whose targets the members of a test share. */
export const POOL = 'bookings';

/** Creates a fleet state with one pool of the given targets (VM to slots). */
export function poolState(targets: Record<string, number>, minServing = 0): FleetState {
  const state = emptyFleetState();
  const pools = { [POOL]: { jobs: {}, minServing } };
  state.branches.set('voyages', { value: { pools, weight: 1 }, version: 1 });
  state.poolOwners.set(POOL, 'voyages');
  for (const [id, slots] of Object.entries(targets)) {
    const place = { address: '127.0.0.1:1', connections: 64, pool: POOL, rack: 'r', zone: 'z' };
    state.vms.set(id, {
      ...place,
      health: 'up',
      id,
      maintainedAt: 0,
      role: 'target',
      slots,
      state: 'serving',
    });
  }
  return state;
}

/** Creates a replica with a fixed state that receives no records. */
export function fixedReplica(state: FleetState): FleetReplica {
  return { state, subscribe: () => undefined } as unknown as FleetReplica;
}

/** Queueing of one entry with its peer interface on loopback. */
export interface TestMember {
  inFlight: InFlight;
  name: string;
  queueing: Queueing;
  server: Server;
}

/** Entries of a test that call each other over loopback. */
export class TestMembers {
  readonly #all: LiveEntry[] = [];
  readonly #end = new AbortController();
  /** Entries that each member considers live; changed by tests. */
  live: LiveEntry[] = [];
  readonly members: TestMember[] = [];

  constructor(readonly state: FleetState) {}

  /** Adds an entry; the fleet state contains it only if it has joined. */
  async add(name: string, joined = true): Promise<TestMember> {
    const inFlight = new InFlight(() => undefined);
    const replica = fixedReplica(this.state);
    const queueing = createQueueing({
      health: new TargetHealth(replica, timers),
      holder: { entry: name, incarnation: 1 },
      inFlight,
      members: { entries: () => this.live },
      peers: new PeerClients(SECRET),
      replica,
      stopping: this.#end.signal,
      timers,
    });
    const app = new Hono();
    const table = new ClaimTable({ keyWindowMs: 1000 });
    const claims = new ClaimLookup(table, new ResultCache(1), { entry: name, incarnation: 1 });
    const leaving = new LeavingVms();
    const ring = new EventRing(name, 10, timers);
    const tasks = new TaskTable({ keepFinishedMs: 1000 });
    const { queues } = queueing;
    const holder = { entry: name, incarnation: 1 };
    const status = createEntryStatus({
      holder,
      inFlight,
      queuedByPool: () => queues.queuedByPool(),
      replica,
    });
    mountRpc(app, createPeerRouter({ claims, leaving, name, queues, ring, status, tasks }), SECRET);
    const server = await listen(app, '127.0.0.1:0');
    const address = server.address();
    const port = typeof address === 'object' && address !== null ? address.port : 0;
    this.#all.push({ address: `127.0.0.1:${port}`, name });
    this.live = [...this.#all];
    if (joined) {
      const place = { address: `127.0.0.1:${port}`, vm: name, zone: 'z' };
      this.state.members.set(name, { ...place, id: name, incarnation: 1, role: 'entry' });
    }
    queueing.start(this.#end.signal);
    const member = { inFlight, name, queueing, server };
    this.members.push(member);
    return member;
  }

  /** Makes one entry the only possible owner of all queues. */
  setOwner(name: string): void {
    this.live = this.#all.filter((entry) => entry.name === name);
  }

  /** Makes all entries live and returns the name of the owner of the test pool. */
  makeAllLive(): string {
    this.live = [...this.#all];
    const names = this.live.map((entry) => entry.name);
    return rendezvousOwner(POOL, names) ?? '';
  }

  /** Stops all entries. */
  stop(): void {
    this.#end.abort();
    for (const { server } of this.members) {
      server.close();
      if ('closeAllConnections' in server) {
        server.closeAllConnections();
      }
    }
  }
}

/** Creates a request for a slot of the test pool. */
export function createGrantRequest(overrides: Partial<GrantRequest> = {}): GrantRequest {
  return {
    bytes: 1,
    deadlineAt: timers.mono() + 10_000,
    excluded: new Set(),
    job: 'quote',
    pool: POOL,
    team: 'voyages',
    urgent: false,
    ...overrides,
  };
}
