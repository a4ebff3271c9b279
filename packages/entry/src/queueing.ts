import type { FleetReplica } from '@sequoiaquay/platform';
import type { TimerService } from '@sequoiaquay/runtime';
import type { ClaimHolder } from './claim-service';
import type { InFlight } from './in-flight';
import type { LiveMembers } from './live-members';
import type { PeerClients } from './peer-clients';
import type { TargetHealth } from './target-health';
import { GrantsInUse } from './grants-in-use';
import { MemberShareGrants } from './member-share-grants';
import { OwnerGrants } from './owner-grants';
import { OwnerLink } from './owner-link';
import { OwnerView } from './owner-view';
import { QueueService } from './queue-service';

/** Components that createQueueing uses. */
export interface QueueingDependencies {
  health: TargetHealth;
  holder: ClaimHolder;
  inFlight: InFlight;
  members: LiveMembers;
  peers: PeerClients;
  replica: FleetReplica;
  /** Aborts when the entry stops. */
  stopping: AbortSignal;
  timers: TimerService;
}

/** Both sides of the pool queues: the queues that this entry owns and its grants from all owners. */
export interface Queueing {
  grants: OwnerGrants;
  queues: QueueService;
  /** Runs both sides until the signal aborts. */
  start: (signal: AbortSignal) => void;
}

/** Creates the queue service and the grant source of an entry. */
export function createQueueing(deps: QueueingDependencies): Queueing {
  const { health, holder, inFlight, members, peers, replica, stopping, timers } = deps;
  const entry = holder.entry;
  const owners = new OwnerView(replica, members, holder);
  const inUse = new GrantsInUse(inFlight, timers);
  const queues = new QueueService({ entry, health, inFlight, inUse, owners, replica, timers });
  const memberShare = new MemberShareGrants(health, inUse, owners, entry);
  const link = new OwnerLink(entry, queues, peers, timers);
  const grants = new OwnerGrants({ entry, inUse, link, owners, memberShare, stopping, timers });
  return {
    grants,
    queues,
    start: (signal) => {
      queues.start(signal, stopping);
      grants.start(signal);
    },
  };
}
