import type { Result } from 'neverthrow';
import type { JobClasses } from './class-learner';
import type { LaneVerdict, QueuedRequest } from './lane';
import type { PoolGrant, QueueRefusal, QueueRequest, QueueTarget, ReportedGrant } from './queue-request';
import type { QueueSettings, TeamPolicy } from './queue-settings';
import { chooseTarget } from '../routing/choose-target';
import { Admission } from './admission';
import { FairShares } from './fair-shares';
import { GrantTable } from './grant-table';
import { Lane } from './lane';
import { ServiceRate } from './service-rate';
import { UrgentGate } from './urgent-gate';

/** What a queue decides with. */
export interface PoolQueueParts {
  classes: JobClasses;
  /** Breaks ties between equally loaded VMs. */
  seed: number;
  settings: QueueSettings;
  teamOf: (team: string) => TeamPolicy;
}

/** What the owner has to tell to members. */
export interface QueueEffects {
  granted: PoolGrant[];
  /** Requests whose deadline passed while they waited. */
  lapsed: QueueRequest[];
}

/** Result of a finished run: run time in ms, or undefined when it says nothing about the job. */
export type MeasuredRun = number | undefined;

const LANE_ORDER = ['urgent-short', 'urgent-long', 'short', 'long'] as const;
const OTHERS_FIRST = ['short', 'long', 'urgent-short', 'urgent-long'] as const;

type LaneName = (typeof LANE_ORDER)[number];

interface LaneState {
  lane: Lane;
  rate: ServiceRate;
}

/** Queue of one pool: orders requests and leases the pool's slots to them. Times in ms. */
export class PoolQueue {
  readonly #admission: Admission;
  readonly #gate: UrgentGate;
  readonly #grants = new GrantTable();
  #keptShortSlots = 0;
  readonly #lanes: Record<LaneName, LaneState>;
  #queuedBytes = 0;
  readonly #queued = new Map<string, QueuedRequest>();
  readonly #queuedOfTeam = new Map<string, number>();
  #sequence = 0;
  readonly #shares = new FairShares();
  #slots = 0;
  #targets: readonly QueueTarget[] = [];

  constructor(private readonly parts: PoolQueueParts) {
    this.#admission = new Admission(parts.settings);
    this.#gate = new UrgentGate(parts.settings);
    this.#lanes = { long: newLane(), short: newLane(), 'urgent-long': newLane(), 'urgent-short': newLane() };
  }

  /** Grants in use. */
  get grants(): PoolGrant[] {
    return [...this.#grants.all()];
  }

  /** Number of requests that wait. */
  get queued(): number {
    return this.#queued.size;
  }

  /** Size of the requests that wait, in bytes. */
  get queuedBytes(): number {
    return this.#queuedBytes;
  }

  /** Sets the VMs that may receive work and the slots kept for short work; long work always has one slot. */
  setTargets(targets: readonly QueueTarget[], keptShortSlots: number): void {
    this.#targets = targets;
    this.#slots = targets.reduce((sum, target) => sum + target.slots, 0);
    this.#keptShortSlots = Math.max(0, Math.min(keptShortSlots, this.#slots - 1));
  }

  /** Gives a request a place in the queue, or refuses it at once. */
  offer(req: QueueRequest, now: number): Result<void, QueueRefusal> {
    this.#advance(now);
    const workClass = this.parts.classes.classOf(req.job);
    const load = {
      expectedWaitMs: this.expectedWaitMs(laneOf(req.urgent, workClass)),
      queued: this.#queued.size,
      queuedBytes: this.#queuedBytes,
      slots: this.#targets.reduce((sum, { slots, vm }) => sum + (req.excluded.has(vm) ? 0 : slots), 0),
      teamInFlight: this.#grants.ofTeam(req.team),
      teamQueued: this.#queuedOfTeam.get(req.team) ?? 0,
    };
    return this.#admission.check(req, load, this.parts.teamOf(req.team), now).map(() => {
      this.#enqueue(req, now);
    });
  }

  /** Frees the place of a request that waits; returns false when it does not wait. */
  cancel(id: string, now: number): boolean {
    this.#advance(now);
    const queued = this.#queued.get(id);
    if (queued !== undefined) {
      this.#dequeue(queued);
    }
    return queued !== undefined;
  }

  /** Grants free slots to waiting requests, in order. */
  pump(now: number): QueueEffects {
    this.#advance(now);
    const effects: QueueEffects = { granted: [], lapsed: [] };
    while (this.#queued.size > 0 && this.#hasFreeSlot()) {
      const next = this.#next(now, effects.lapsed);
      if (next === undefined) {
        break;
      }
      effects.granted.push(this.#grant(next, now));
    }
    return effects;
  }

  /** Takes a grant back and learns from its run; undefined when the grant is not in use. */
  release(id: string, run: MeasuredRun): PoolGrant | undefined {
    const grant = this.#grants.remove(id);
    if (grant === undefined || run === undefined) {
      return grant;
    }
    this.parts.classes.record(grant.job, run);
    this.#shares.correct(grant.team, run - grant.expectedMs, this.parts.teamOf(grant.team).weight);
    return grant;
  }

  /** Extends a grant by the lease time; returns false when it is not in use. */
  renew(id: string, now: number): boolean {
    return this.#grants.renew(id, now + this.parts.settings.leaseMs);
  }

  /** Takes over the grants that a member reports after a change of owner; returns those that were new. */
  adopt(member: string, reported: readonly ReportedGrant[], now: number): PoolGrant[] {
    const adopted: PoolGrant[] = [];
    for (const { id, job, ranMs, team, vm } of reported) {
      if (this.renew(id, now)) {
        continue;
      }
      const expiresAt = now + this.parts.settings.leaseMs;
      const grant: PoolGrant = {
        class: this.parts.classes.classOf(job),
        expectedMs: this.parts.classes.expectedMs(job),
        expiresAt,
        grantedAt: now - ranMs,
        id,
        job,
        member,
        straggler: false,
        team,
        vm,
      };
      this.#grants.add(grant);
      adopted.push(grant);
    }
    return adopted;
  }

  /** Takes back expired grants and counts runs past the class threshold as long. */
  tick(now: number): PoolGrant[] {
    this.#grants.reclassify(this.parts.classes, now);
    return this.#grants.expiredIds(now).flatMap((id) => this.release(id, undefined) ?? []);
  }

  /** Expected wait of a request that arrives in a lane now, in ms. */
  expectedWaitMs(name: LaneName): number {
    const better = LANE_ORDER.slice(0, LANE_ORDER.indexOf(name));
    const betterWorkMs = better.reduce((sum, each) => sum + this.#lanes[each].lane.workMs, 0);
    const { lane, rate } = this.#lanes[name];
    const usable = Math.max(1, this.#slots - (isLong(name) ? this.#keptShortSlots : 0));
    // The measured rate of the own lane includes what better work that keeps arriving takes away.
    return betterWorkMs / Math.max(1, this.#slots) + lane.workMs / rate.perMs(usable);
  }

  #advance(now: number): void {
    for (const name of LANE_ORDER) {
      const { lane, rate } = this.#lanes[name];
      rate.advance(now, lane.size > 0);
    }
  }

  #enqueue(req: QueueRequest, at: number): void {
    const { classes } = this.parts;
    const queued: QueuedRequest = {
      at,
      class: classes.classOf(req.job),
      expectedMs: classes.expectedMs(req.job),
      place: undefined,
      req,
      sequence: this.#sequence++,
    };
    this.#lanes[laneOf(req.urgent, queued.class)].lane.add(queued);
    this.#queued.set(req.id, queued);
    this.#queuedBytes += req.bytes;
    this.#queuedOfTeam.set(req.team, (this.#queuedOfTeam.get(req.team) ?? 0) + 1);
  }

  #dequeue(queued: QueuedRequest): void {
    const { req } = queued;
    this.#lanes[laneOf(req.urgent, queued.class)].lane.remove(queued);
    this.#queued.delete(req.id);
    this.#queuedBytes -= req.bytes;
    const left = (this.#queuedOfTeam.get(req.team) ?? 1) - 1;
    if (left === 0) {
      this.#queuedOfTeam.delete(req.team);
      return;
    }
    this.#queuedOfTeam.set(req.team, left);
  }

  #next(now: number, lapsed: QueueRequest[]): QueuedRequest | undefined {
    const moved: QueuedRequest[] = [];
    const judge = (queued: QueuedRequest): LaneVerdict => this.#judge(queued, now, lapsed, moved);
    const order = this.#gate.othersFirst(
      this.#longestWait(now, 'urgent-short', 'urgent-long'),
      this.#longestWait(now, 'short', 'long'),
    )
      ? OTHERS_FIRST
      : LANE_ORDER;
    for (const name of order) {
      if (!isLong(name) || this.#longMayStart()) {
        const found = this.#lanes[name].lane.pick(this.#shares, judge);
        this.#refile(moved);
        if (found !== undefined) {
          return found;
        }
      }
    }
    return undefined;
  }

  #judge(queued: QueuedRequest, now: number, lapsed: QueueRequest[], moved: QueuedRequest[]): LaneVerdict {
    if (queued.req.deadlineAt <= now) {
      this.#dequeue(queued);
      lapsed.push(queued.req);
      return 'drop';
    }
    if (this.parts.classes.classOf(queued.req.job) !== queued.class) {
      this.#lanes[laneOf(queued.req.urgent, queued.class)].lane.remove(queued);
      moved.push(queued);
      return 'drop';
    }
    const quota = this.parts.teamOf(queued.req.team).quota;
    const withinQuota = quota === undefined || this.#grants.ofTeam(queued.req.team) < quota.inFlight;
    return withinQuota && this.#targetFor(queued.req) !== undefined ? 'grant' : 'skip';
  }

  // Requests whose job has changed its class since they arrived move to the lane of the new class.
  #refile(moved: QueuedRequest[]): void {
    for (const queued of moved.splice(0)) {
      queued.class = this.parts.classes.classOf(queued.req.job);
      queued.expectedMs = this.parts.classes.expectedMs(queued.req.job);
      this.#lanes[laneOf(queued.req.urgent, queued.class)].lane.add(queued);
    }
  }

  #targetFor(req: QueueRequest): QueueTarget | undefined {
    return chooseTarget(
      this.#targets,
      (vm) => this.#grants.onVm(vm),
      req.excluded,
      this.parts.seed + this.#sequence,
    );
  }

  #grant(queued: QueuedRequest, now: number): PoolGrant {
    const { req } = queued;
    this.#dequeue(queued);
    if (queued.at < now) {
      this.#lanes[laneOf(req.urgent, queued.class)].rate.add(queued.expectedMs);
    }
    const grant: PoolGrant = {
      class: queued.class,
      expectedMs: queued.expectedMs,
      expiresAt: now + this.parts.settings.leaseMs,
      grantedAt: now,
      id: req.id,
      job: req.job,
      member: req.member,
      straggler: false,
      team: req.team,
      vm: this.#targetFor(req)?.vm ?? '',
    };
    this.#grants.add(grant);
    this.#gate.granted(req.urgent);
    this.#shares.charge(req.team, grant.expectedMs, this.parts.teamOf(req.team).weight);
    return grant;
  }

  // Grants on VMs that receive no new work, such as draining ones, take no slot from the others.
  #hasFreeSlot(): boolean {
    return this.#targets.some(({ slots, vm }) => this.#grants.onVm(vm) < slots);
  }

  #longMayStart(): boolean {
    const long = this.#targets.reduce((sum, { vm }) => sum + this.#grants.longOnVm(vm), 0);
    return long < this.#slots - this.#keptShortSlots;
  }

  #longestWait(now: number, ...names: LaneName[]): number {
    return Math.max(...names.map((name) => now - (this.#lanes[name].lane.oldestAt ?? now)));
  }
}

function newLane(): LaneState {
  return { lane: new Lane(), rate: new ServiceRate() };
}

function laneOf(urgent: boolean, workClass: 'long' | 'short'): LaneName {
  return urgent ? `urgent-${workClass}` : workClass;
}

function isLong(name: LaneName): boolean {
  return name === 'long' || name === 'urgent-long';
}
