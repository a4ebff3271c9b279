import { describe, expect, it } from 'vitest';
import type { FleetConfig, Job, JobPolicy, Plan, TaskRecord } from '../../src/jobs';
import {
  decodeJobRecord,
  encodeJobRecord,
  JOB_RECORD,
  RUN_END,
  Scheduler,
  toJobPolicy,
} from '../../src/jobs';
import { config, job, report, SCHEDULER_SETTINGS, step, worker } from './support/jobs';

const ADVICE = { decisionMs: 1, perWorkerMs: 2, validityMs: 1000 };

const WITHOUT_QUEUES: FleetConfig = { ...config(), queues: [], version: 2 };

const FAILED_ONCE: TaskRecord = {
  checkpoint: '',
  failures: 1,
  run: 1,
  state: 'waiting',
  task: 'j.0.0.0',
  workerId: '',
};

function acceptedJob(advice?: JobPolicy['advice']): Job {
  const [queue] = config().queues;
  return { ...job('j', [step()]), policy: queue && toJobPolicy({ ...queue, advice }) };
}

/** Leader with a worker that fails every run. */
class FailingLeader {
  readonly asked: JobPolicy[] = [];
  readonly scheduler = new Scheduler(
    SCHEDULER_SETTINGS,
    () => undefined,
    (policy) => {
      this.asked.push(policy);
      return new Set();
    },
  );

  constructor(cfg: FleetConfig | undefined, accepted: Job, records: readonly TaskRecord[] = []) {
    if (cfg !== undefined) {
      this.scheduler.onConfig(cfg);
    }
    this.scheduler.onWorkerRegistered(worker('a'), 0);
    for (const item of this.scheduler.workers.values()) {
      this.scheduler.onReport(item, report(), 0, 0);
    }
    this.scheduler.onJob(accepted, records, 0, 0);
  }

  get hasEnded(): boolean | undefined {
    return this.scheduler.jobs.get('j')?.hasEnded;
  }

  failRun(run: number): Plan {
    const plan = this.scheduler.plan(run, 0);
    for (const item of this.scheduler.workers.values()) {
      const number = item.endsRead + 1;
      this.scheduler.onReport(item, report([], [[number, 'j.0.0.0', run, RUN_END.failed]]), run, run);
    }
    return plan;
  }
}

// Guards against jobs that are treated as if their queue had no limits, no priority and no advice, since it was dropped
// from the configuration after they were accepted.
describe('a job of a queue that is no longer configured', () => {
  it('is given up after as many failed runs as its queue allowed', () => {
    const leader = new FailingLeader(config(), acceptedJob());
    leader.failRun(1);
    leader.scheduler.onConfig(WITHOUT_QUEUES);
    leader.scheduler.onConfig({ ...WITHOUT_QUEUES, version: 3 });
    expect(leader.failRun(2).starts).toMatchObject([{ run: 2 }]);
    expect(leader.scheduler.plan(3, 0).starts).toEqual([]);
    expect(leader.hasEnded).toBe(true);
  });

  it('is given up after as many failed runs by a leader whose term began after that', () => {
    const leader = new FailingLeader(WITHOUT_QUEUES, acceptedJob(), [FAILED_ONCE]);
    expect(leader.hasEnded).toBe(false);
    expect(leader.failRun(2).starts).toMatchObject([{ run: 2 }]);
    expect(leader.scheduler.plan(3, 0).starts).toEqual([]);
    expect(leader.hasEnded).toBe(true);
  });

  it('is given up by a leader that has no configuration yet', () => {
    const leader = new FailingLeader(undefined, acceptedJob(), [{ ...FAILED_ONCE, failures: 2, run: 2 }]);
    expect(leader.hasEnded).toBe(true);
  });

  it('starts only on workers that the advice allows, also under a later leader', () => {
    const accepted = acceptedJob(ADVICE);
    const first = new FailingLeader(config(), accepted);
    first.scheduler.onConfig(WITHOUT_QUEUES);
    for (const leader of [first, new FailingLeader(WITHOUT_QUEUES, accepted)]) {
      expect(leader.scheduler.plan(1, 0).starts).toEqual([]);
      expect(leader.asked.map(({ advice }) => advice)).toEqual([ADVICE]);
    }
  });

  it('may fail once if its record, of an earlier version, states no limit', () => {
    const fresh = new FailingLeader(WITHOUT_QUEUES, job('j', [step()]));
    expect(fresh.failRun(1).starts).toMatchObject([{ run: 1 }]);
    expect(fresh.hasEnded).toBe(true);
    expect(new FailingLeader(WITHOUT_QUEUES, job('j', [step()]), [FAILED_ONCE]).hasEnded).toBe(true);
  });

  it('is given up when the queue is dropped, if no record states its limit', () => {
    const leader = new FailingLeader(config(), job('j', [step()]), [FAILED_ONCE]);
    expect(leader.hasEnded).toBe(false);
    leader.scheduler.onConfig(WITHOUT_QUEUES);
    expect(leader.scheduler.plan(1, 0).starts).toEqual([]);
    expect(leader.hasEnded).toBe(true);
  });
});

describe('the record of an accepted job', () => {
  it.each([undefined, ADVICE])('keeps the policy of its queue: %o', (advice) => {
    const accepted = acceptedJob(advice);
    const [record] = encodeJobRecord({ job: accepted, kind: JOB_RECORD.submit });
    const decoded = decodeJobRecord(record?.key ?? '', record?.value)._unsafeUnwrap();
    expect(decoded).toEqual({ job: accepted, kind: JOB_RECORD.submit });
  });

  it.each(['{}', '[1]', '[null,1,2,3,"x"]', 'null'])(
    'is read without a policy that is not understood: %s',
    (text) => {
      const [record] = encodeJobRecord({ job: job('j', [step()]), kind: JOB_RECORD.submit });
      const odd = JSON.stringify({
        ...(JSON.parse(record?.value ?? '') as object),
        policy: JSON.parse(text) as unknown,
      });
      expect(decodeJobRecord(record?.key ?? '', odd)._unsafeUnwrap()).toMatchObject({
        job: { id: 'j', policy: undefined },
      });
    },
  );
});
