import type { ResultAsync } from 'neverthrow';
import { resourcesSchema } from '@sequoiaquay/core';
import * as z from 'zod';
import type { PlatformError } from './platform-error';
import type { PlatformHttpClient } from './platform-http-client';

const listedVmSchema = z.object({
  address: z.string(),
  connections: z.int().min(1),
  id: z.string(),
  rack: z.string(),
  /** What a worker offers to tasks: processors, memory in MB, accelerators. */
  resources: resourcesSchema.optional(),
  role: z.enum(['entry', 'target', 'worker']),
  slots: z.int().min(1),
  state: z.enum(['leaving', 'live']),
  zone: z.string(),
});

const listResponseSchema = z.object({ asOf: z.int(), vms: z.array(listedVmSchema) });
const acceptedResponseSchema = z.object({ accepted: z.literal(true) });

/** A VM as the platform's lagging list shows it. */
export type ListedVm = z.infer<typeof listedVmSchema>;
/** The platform's lagging list of VMs; `asOf` in ms since the epoch. */
export type VmList = z.infer<typeof listResponseSchema>;

/** VM service of the platform. */
export interface VmService {
  /** VMs that are live or leaving, some seconds late. */
  listVms: (signal: AbortSignal) => ResultAsync<VmList, PlatformError>;
  /** Asks the platform to reboot a VM. */
  reboot: (vm: string, signal: AbortSignal) => ResultAsync<void, PlatformError>;
  /** Gives a VM back to the platform. */
  remove: (vm: string, signal: AbortSignal) => ResultAsync<void, PlatformError>;
}

/** VM service reached over HTTP. */
export class VmClient implements VmService {
  constructor(private readonly client: PlatformHttpClient) {}

  listVms(signal: AbortSignal): ResultAsync<VmList, PlatformError> {
    return this.client.request({ method: 'GET', path: '/v1/vms', schema: listResponseSchema, signal });
  }

  reboot(vm: string, signal: AbortSignal): ResultAsync<void, PlatformError> {
    return this.#post(`/v1/vms/${vm}/reboot`, signal);
  }

  remove(vm: string, signal: AbortSignal): ResultAsync<void, PlatformError> {
    return this.#post(`/v1/vms/${vm}/remove`, signal);
  }

  #post(path: string, signal: AbortSignal): ResultAsync<void, PlatformError> {
    return this.client
      .request({ body: {}, method: 'POST', path, schema: acceptedResponseSchema, signal })
      .map(() => undefined);
  }
}
