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
  /** Capacity that a worker offers to tasks: processors, memory in MB, accelerators. */
  resources: resourcesSchema.optional(),
  role: z.enum(['entry', 'target', 'worker']),
  slots: z.int().min(1),
  state: z.enum(['leaving', 'live']),
  zone: z.string(),
});

const listResponseSchema = z.object({ asOf: z.int(), vms: z.array(listedVmSchema) });
const acceptedResponseSchema = z.object({ accepted: z.literal(true) });

/** VM as it appears in the platform's VM list, which lags some seconds behind. */
export type ListedVm = z.infer<typeof listedVmSchema>;
/** The platform's VM list as of the time `asOf`, in ms since the epoch. */
export type VmList = z.infer<typeof listResponseSchema>;

/** VM service of the platform. */
export interface VmService {
  /** Returns the VMs that are live or leaving; the list lags some seconds behind. */
  listVms: (signal: AbortSignal) => ResultAsync<VmList, PlatformError>;
  /** Requests a reboot of a VM. */
  reboot: (vm: string, signal: AbortSignal) => ResultAsync<void, PlatformError>;
  /** Returns a VM to the platform. */
  remove: (vm: string, signal: AbortSignal) => ResultAsync<void, PlatformError>;
}

/** HTTP client of the VM service. */
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
