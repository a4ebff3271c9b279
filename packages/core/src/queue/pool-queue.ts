import type { Result } from 'neverthrow';
import type { LaneDecision, QueuedRequest } from './lane';
import type { PoolGrant, QueueRefusal, QueueRequest, QueueTarget, ReportedGrant } from './queue-request';
import type { QueueSettings, TeamPolicy } from './queue-settings';
import type { JobClassifier } from './run-time-classifier';
import { chooseTarget } from '../routing/choose-target';
import { AdmissionController } from './admission';
import { FairShares } from './fair-shares';
import { GrantTable } from './grant-table';
import { Lane } from './lane';
import { ServiceRate } from './service-rate';
import { StarvationGuard } from './starvation-guard';

/** Collaborators and settings of a pool queue. */
export interface PoolQueueDependencies {
  classifier: JobClassifier;
  /** Breaks ties between equally loaded VMs. */
  seed: number;
  settings: QueueSettings;
  /** Weight and quota of a team. */
  teamOf: (team: string) => TeamPolicy;
}

/** Result of a dispatch, which the owner of the queue reports to the members. */
export interface DispatchResult {
  /** Requests whose deadline passed while they were queued. */
  expired: QueueRequest[];
  granted: PoolGrant[];
}

/** Run time of a finished run, in ms; undefined when the run is not representative of the job. */
export type MeasuredRunMs = number | undefined;

const PRIORITY_ORDER = ['urgent-short', 'urgent-long', 'short', 'long'] as const;
const NON_URGENT_FIRST_ORDER = ['short', 'long', 'urgent-short', 'urgent-long'] as const;

type LaneName = (typeof PRIORITY_ORDER)[number];

interface LaneState {
  lane: Lane;
  rate: ServiceRate;
}

/** Queue of one pool: orders requests and grants them leases on the pool's slots. Times in ms. */
export class PoolQueue {
  readonly #admission: AdmissionController;
  readonly #starvationGuard: StarvationGuard;
  readonly #grants = new GrantTable();
  #reservedShortSlots = 0;
  readonly #lanes: Record<LaneName, LaneState>;
  #queuedBytes = 0;
  readonly #queued = new Map<string, QueuedRequest>();
  readonly #queuedByTeam = new Map<string, number>();
  #sequence = 0;
  readonly #shares = new FairShares();
  #slots = 0;
  #targets: readonly QueueTarget[] = [];

  constructor(private readonly deps: PoolQueueDependencies) {
    this.#admission = new AdmissionController(deps.settings);
    this.#starvationGuard = new StarvationGuard(deps.settings);
    this.#lanes = {
      long: createLane(),
      short: createLane(),
      'urgent-long': createLane(),
      'urgent-short': createLane(),
    };
  }

  /** Grants in use. */
  get grants(): PoolGrant[] {
    return [...this.#grants.all()];
  }

  /** Number of queued requests. */
  get queued(): number {
    return this.#queued.size;
  }

  /** Total size of the queued requests, in bytes. */
  get queuedBytes(): number {
    return this.#queuedBytes;
  }

  /**
   * Sets the VMs that may receive new work and the number of slots that are reserved for short work. At least
   * one slot stays available to long work.
   */
  setTargets(targets: readonly QueueTarget[], reservedShortSlots: number): void {
    this.#targets = targets;
    this.#slots = targets.reduce((sum, target) => sum + target.slots, 0);
    this.#reservedShortSlots = Math.max(0, Math.min(reservedShortSlots, this.#slots - 1));
  }

  /** Queues a request, or refuses it at once. */
  offer(req: QueueRequest, now: number): Result<void, QueueRefusal> {
    this.#advanceRates(now);
    const workClass = this.deps.classifier.classOf(req.job);
    const load = {
      expectedWaitMs: this.expectedWaitMs(laneOf(req.urgent, workClass)),
      queued: this.#queued.size,
      queuedBytes: this.#queuedBytes,
      slots: this.#targets.reduce((sum, { slots, vm }) => sum + (req.excluded.has(vm) ? 0 : slots), 0),
      teamInFlight: this.#grants.countOfTeam(req.team),
      teamQueued: this.#queuedByTeam.get(req.team) ?? 0,
    };
    return this.#admission.check(req, load, this.deps.teamOf(req.team), now).map(() => {
      this.#enqueue(req, now);
    });
  }

  /** Removes a queued request; returns false when it is not queued. */
  cancel(id: string, now: number): boolean {
    this.#advanceRates(now);
    const queued = this.#queued.get(id);
    if (queued !== undefined) {
      this.#dequeue(queued);
    }
    return queued !== undefined;
  }

  /** Grants free slots to queued requests, in order of priority. */
  dispatch(now: number): DispatchResult {
    this.#advanceRates(now);
    const result: DispatchResult = { expired: [], granted: [] };
    while (this.#queued.size > 0 && this.#hasFreeSlot()) {
      const next = this.#nextRequest(now, result.expired);
      if (next === undefined) {
        break;
      }
      result.granted.push(this.#grant(next, now));
    }
    return result;
  }

  /**
   * Releases a grant and records the run time of its run, if there is one. Returns the grant, or undefined when
   * it is not in use.
   */
  release(id: string, runMs: MeasuredRunMs): PoolGrant | undefined {
    const grant = this.#grants.remove(id);
    if (grant === undefined || runMs === undefined) {
      return grant;
    }
    this.deps.classifier.record(grant.job, runMs);
    this.#shares.correct(grant.team, runMs - grant.expectedMs, this.deps.teamOf(grant.team).weight);
    return grant;
  }

  /** Renews a grant for the lease duration; returns false when it is not in use. */
  renew(id: string, now: number): boolean {
    return this.#grants.renew(id, now + this.deps.settings.leaseMs);
  }

  /** Adds the grants that a member reports after a change of owner; returns those that were not known yet. */
  adopt(member: string, reported: readonly ReportedGrant[], now: number): PoolGrant[] {
    const adopted: PoolGrant[] = [];
    for (const { id, job, ranMs, team, vm } of reported) {
      if (this.renew(id, now)) {
        continue;
      }
      const expiresAt = now + this.deps.settings.leaseMs;
      const grant: PoolGrant = {
        class: this.deps.classifier.classOf(job),
        expectedMs: this.deps.classifier.expectedMs(job),
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

  /**
   * Reclassifies running work that has exceeded the threshold as long, then releases expired grants and returns
   * them.
   */
  updateGrants(now: number): PoolGrant[] {
    this.#grants.reclassify(this.deps.classifier, now);
    return this.#grants.expiredIds(now).flatMap((id) => this.release(id, undefined) ?? []);
  }

  /** Expected wait of a request that is added to a lane now, in ms. */
  expectedWaitMs(name: LaneName): number {
    const higher = PRIORITY_ORDER.slice(0, PRIORITY_ORDER.indexOf(name));
    const higherWorkMs = higher.reduce((sum, each) => sum + this.#lanes[each].lane.expectedWorkMs, 0);
    const { lane, rate } = this.#lanes[name];
    const usable = Math.max(1, this.#slots - (isLong(name) ? this.#reservedShortSlots : 0));
    // The measured rate of this lane already accounts for work of higher priority that keeps arriving.
    return higherWorkMs / Math.max(1, this.#slots) + lane.expectedWorkMs / rate.perMs(usable);
  }

  #advanceRates(now: number): void {
    for (const name of PRIORITY_ORDER) {
      const { lane, rate } = this.#lanes[name];
      rate.advance(now, lane.size > 0);
    }
  }

  #enqueue(req: QueueRequest, arrivedAt: number): void {
    const { classifier } = this.deps;
    const queued: QueuedRequest = {
      arrivedAt,
      class: classifier.classOf(req.job),
      expectedMs: classifier.expectedMs(req.job),
      node: undefined,
      req,
      sequence: this.#sequence++,
    };
    this.#lanes[laneOf(req.urgent, queued.class)].lane.add(queued);
    this.#queued.set(req.id, queued);
    this.#queuedBytes += req.bytes;
    this.#queuedByTeam.set(req.team, (this.#queuedByTeam.get(req.team) ?? 0) + 1);
  }

  #dequeue(queued: QueuedRequest): void {
    const { req } = queued;
    this.#lanes[laneOf(req.urgent, queued.class)].lane.remove(queued);
    this.#queued.delete(req.id);
    this.#queuedBytes -= req.bytes;
    const left = (this.#queuedByTeam.get(req.team) ?? 1) - 1;
    if (left === 0) {
      this.#queuedByTeam.delete(req.team);
      return;
    }
    this.#queuedByTeam.set(req.team, left);
  }

  #nextRequest(now: number, expired: QueueRequest[]): QueuedRequest | undefined {
    const reclassified: QueuedRequest[] = [];
    const decide = (queued: QueuedRequest): LaneDecision => this.#decide(queued, now, expired, reclassified);
    const order = this.#starvationGuard.shouldYield(
      this.#longestWait(now, 'urgent-short', 'urgent-long'),
      this.#longestWait(now, 'short', 'long'),
    )
      ? NON_URGENT_FIRST_ORDER
      : PRIORITY_ORDER;
    for (const name of order) {
      if (!isLong(name) || this.#canStartLong()) {
        const found = this.#lanes[name].lane.pickNext(this.#shares, decide);
        this.#requeue(reclassified);
        if (found !== undefined) {
          return found;
        }
      }
    }
    return undefined;
  }

  #decide(
    queued: QueuedRequest,
    now: number,
    expired: QueueRequest[],
    reclassified: QueuedRequest[],
  ): LaneDecision {
    if (queued.req.deadlineAt <= now) {
      this.#dequeue(queued);
      expired.push(queued.req);
      return 'drop';
    }
    if (this.deps.classifier.classOf(queued.req.job) !== queued.class) {
      this.#lanes[laneOf(queued.req.urgent, queued.class)].lane.remove(queued);
      reclassified.push(queued);
      return 'drop';
    }
    const quota = this.deps.teamOf(queued.req.team).quota;
    const isWithinQuota = quota === undefined || this.#grants.countOfTeam(queued.req.team) < quota.inFlight;
    return isWithinQuota && this.#targetFor(queued.req) !== undefined ? 'grant' : 'skip';
  }

  // Moves requests whose job has changed its class since they arrived to the lane of the new class.
  #requeue(reclassified: QueuedRequest[]): void {
    for (const queued of reclassified.splice(0)) {
      queued.class = this.deps.classifier.classOf(queued.req.job);
      queued.expectedMs = this.deps.classifier.expectedMs(queued.req.job);
      this.#lanes[laneOf(queued.req.urgent, queued.class)].lane.add(queued);
    }
  }

  #targetFor(req: QueueRequest): QueueTarget | undefined {
    return chooseTarget(
      this.#targets,
      (vm) => this.#grants.countOnVm(vm),
      req.excluded,
      this.deps.seed + this.#sequence,
    );
  }

  #grant(queued: QueuedRequest, now: number): PoolGrant {
    const { req } = queued;
    this.#dequeue(queued);
    if (queued.arrivedAt < now) {
      this.#lanes[laneOf(req.urgent, queued.class)].rate.recordGranted(queued.expectedMs);
    }
    const grant: PoolGrant = {
      class: queued.class,
      expectedMs: queued.expectedMs,
      expiresAt: now + this.deps.settings.leaseMs,
      grantedAt: now,
      id: req.id,
      job: req.job,
      member: req.member,
      straggler: false,
      team: req.team,
      vm: this.#targetFor(req)?.vm ?? '',
    };
    this.#grants.add(grant);
    this.#starvationGuard.recordGrant(req.urgent);
    this.#shares.charge(req.team, grant.expectedMs, this.deps.teamOf(req.team).weight);
    return grant;
  }

  // Grants on VMs that receive no new work, such as draining ones, don't reduce the slots of the other VMs.
  #hasFreeSlot(): boolean {
    return this.#targets.some(({ slots, vm }) => this.#grants.countOnVm(vm) < slots);
  }

  #canStartLong(): boolean {
    const long = this.#targets.reduce((sum, { vm }) => sum + this.#grants.countLongOnVm(vm), 0);
    return long < this.#slots - this.#reservedShortSlots;
  }

  #longestWait(now: number, ...names: LaneName[]): number {
    return Math.max(...names.map((name) => now - (this.#lanes[name].lane.oldestArrivalAt ?? now)));
  }
}

function createLane(): LaneState {
  return { lane: new Lane(), rate: new ServiceRate() };
}

function laneOf(urgent: boolean, workClass: 'long' | 'short'): LaneName {
  return urgent ? `urgent-${workClass}` : workClass;
}

function isLong(name: LaneName): boolean {
  return name === 'long' || name === 'urgent-long';
}
