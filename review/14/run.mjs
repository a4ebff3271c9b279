import { setTimeout as delay } from 'node:timers/promises';
import { Executor } from '../support-3/executor.mjs';
import { Machines } from '../support-3/machines.mjs';
import { createConfig, HAS_TROUBLE, runCase } from '../support-3/site.mjs';

/** Waves, each of one machine that was added shortly before. */
const WAVES = 6;

/** Time from the arrival of a machine to the request for its upkeep, in ms; a calm one in a run without disruption. */
const REQUEST_AFTER_MS = HAS_TROUBLE ? 100 : 5000;

const PAUSE_MS = 6270;

await runCase(async (site) => {
  const machines = new Machines(site);
  await machines.start();
  site.store.put('keyed.op', 'config', createConfig(['billing']));
  let count = 0;
  const create = (machine) => {
    count += 1;
    const info = {
      capacity: { cpu: 16_000, gpus: 0, mem_mb: 65_536 },
      labels: ['a', `r${Math.ceil(machine / 4)}`],
      service: 'billing',
      zone: `bc-coast-${'abcd'[machine % 4]}`,
    };
    return new Executor(site, `i-${String(count).padStart(8, '0')}`, info);
  };
  const addMachine = async (machine) => {
    const executor = create(machine);
    await executor.start();
    machines.add(`m-${machine}`, executor, () => create(machine));
  };
  for (let machine = 1; machine <= 8; machine += 1) {
    await addMachine(machine);
  }
  const broken = [];
  site.store.onRecord('keyed.status', (key, value) => {
    const [, wave] = /^wave\/(\d+)$/.exec(key) ?? [];
    const { state } = JSON.parse(value);
    site.record(`status/${key}: ${state}`);
    const machine = `m-${8 + Number(wave)}`;
    if (state === 'completed' && !machines.upkeepBegan.has(`${wave} ${machine}`)) {
      broken.push(`MIXED: wave ${wave} is said to be completed, and ${machine} has not begun its upkeep`);
    }
  });
  await site.startNodes(3, { cloud: machines.address });
  await delay(5000);
  for (let wave = 1; wave <= WAVES; wave += 1) {
    const machine = 8 + wave;
    await addMachine(machine);
    await delay(REQUEST_AFTER_MS);
    site.store.put('keyed.op', `wave/${wave}`, {
      duration_s: 12,
      machines: [`m-${machine}`],
      maximum: 1,
      wave,
    });
    site.record(`op/wave/${wave} requests the upkeep of m-${machine}`);
    await delay(PAUSE_MS);
  }
  return broken;
});
