import { applyFleetRecord, emptyFleetState, toSnapshot } from '@sequoiaquay/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

const SEED = 20261204;

const BASE = { at: 1, by: 'test', id: 'r1', v: 1 };
const SETTINGS = {
  ...BASE,
  base: 0,
  branch: { pools: { bookings: { jobs: {}, minServing: 0 } }, weight: 1 },
  kind: 'settings-apply',
  team: 'voyages',
};
const REGISTER = {
  ...BASE,
  address: '127.0.0.1:1',
  connections: 64,
  id: 'r2',
  kind: 'vm-register',
  rack: 'r',
  role: 'target',
  slots: 8,
  vm: 'vm-0',
  zone: 'z',
};

function preparedState(): ReturnType<typeof emptyFleetState> {
  const state = emptyFleetState();
  expect(applyFleetRecord(state, 0, SETTINGS).isOk()).toBe(true);
  expect(applyFleetRecord(state, 1, REGISTER).isOk()).toBe(true);
  return state;
}

/** Applies an invalid record and checks that it is rejected and that only the offset advances. */
function expectSkipped(raw: unknown): void {
  const state = preparedState();
  const before = toSnapshot(state);
  const result = applyFleetRecord(state, 2, raw);
  expect(result._unsafeUnwrapErr()).toMatchObject({ reason: 'bad-record' });
  expect(toSnapshot(state)).toEqual({ ...before, next: 3 });
}

// Guards against invalid records, or records of newer versions, that throw or damage the state of a replica.
describe('records that this version cannot apply', () => {
  it.each([
    ['an unknown kind', { ...BASE, id: 'x', kind: 'vm-teleport', vm: 'vm-0' }],
    ['a newer version', { ...SETTINGS, base: 1, id: 'x', v: 2 }],
    ['no version', { ...SETTINGS, id: 'x', v: undefined }],
    ['a kind from the prototype', { ...BASE, id: 'x', kind: '__proto__' }],
    ['a team named __proto__', { ...SETTINGS, id: 'x', team: '__proto__' }],
    [
      'a pool named __proto__',
      JSON.parse(
        '{"at":1,"by":"t","id":"x","v":1,"kind":"settings-apply","base":1,"team":"voyages","branch":{"pools":{"__proto__":{"jobs":{},"minServing":0}}}}',
      ),
    ],
    ['a huge name', { ...REGISTER, id: 'x', vm: 'v'.repeat(1_000_000) }],
    ['a huge id', { ...REGISTER, id: 'x'.repeat(1_000_000), vm: 'vm-1' }],
    ['an infinite number', { ...REGISTER, id: 'x', slots: Number.POSITIVE_INFINITY, vm: 'vm-1' }],
    ['nothing', undefined],
    ['null', null],
    ['a list', [SETTINGS]],
  ])('are skipped without changing the state: %s', (_case, raw) => {
    expectSkipped(raw);
  });

  it('are skipped without changing the state: arbitrary values', () => {
    fc.assert(fc.property(fc.anything({ withNullPrototype: true }), expectSkipped), {
      numRuns: 1000,
      seed: SEED,
    });
  });

  it('are skipped without changing the state: records that lack one field', () => {
    const fields = Object.keys(REGISTER) as (keyof typeof REGISTER)[];
    for (const field of fields) {
      expectSkipped({ ...REGISTER, id: 'x', vm: 'vm-1', [field]: undefined });
    }
  });

  it("never throw or change another team's settings: fields with arbitrary values", () => {
    const field = fc.constantFrom(...Object.keys(SETTINGS), 'vm', 'member', 'epoch');
    const kind = fc.constantFrom(
      'settings-apply',
      'vm-drain',
      'vm-clear',
      'member-join',
      'snapshot',
      'wave-start',
    );
    const change = fc.tuple(field, fc.anything());
    fc.assert(
      fc.property(kind, fc.array(change, { maxLength: 4 }), (chosen, changes) => {
        const state = preparedState();
        const before = structuredClone(state.branches.get('voyages'));
        const raw = { ...SETTINGS, ...Object.fromEntries(changes), id: 'x', kind: chosen, team: 'office' };
        applyFleetRecord(state, 2, raw);
        expect(state.branches.get('voyages')).toEqual(before);
        expect(state.vms.has('vm-0')).toBe(true);
        expect(state.next).toBe(3);
      }),
      { numRuns: 1000, seed: SEED },
    );
  });
});
