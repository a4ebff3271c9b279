import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { OrderWindow } from '../../src/jobs/order-window';

const SEED = 20261204;

// Guards against reports that wait behind orders on a full link, and against orders that are never sent.
describe('OrderWindow', () => {
  it('sends at once what fits, and the rest in order when earlier items are answered', () => {
    const window = new OrderWindow<string>(100);
    expect(window.add('a', 60)).toEqual(['a']);
    expect(window.add('b', 40)).toEqual(['b']);
    expect(window.add('c', 50)).toEqual([]);
    expect(window.add('d', 1)).toEqual([]);
    expect(window.release(40)).toEqual([]);
    expect(window.release(60)).toEqual(['c', 'd']);
  });

  it('sends an item that is larger than the bound alone', () => {
    const window = new OrderWindow<string>(100);
    expect(window.add('a', 10)).toEqual(['a']);
    expect(window.add('b', 500)).toEqual([]);
    expect(window.release(10)).toEqual(['b']);
    expect(window.add('c', 1)).toEqual([]);
    expect(window.release(500)).toEqual(['c']);
  });

  it('never exceeds the bound with several items, and sends each item once and in order', () => {
    const sizes = fc.array(fc.integer({ max: 150, min: 1 }), { maxLength: 40 });
    fc.assert(
      fc.property(sizes, fc.infiniteStream(fc.boolean()), (bytes, answersFirst) => {
        const window = new OrderWindow<number>(100);
        const inFlight: number[] = [];
        const sent: number[] = [];
        const send = (items: number[]): void => {
          inFlight.push(...items);
          sent.push(...items);
          const total = inFlight.reduce((sum, item) => sum + (bytes[item] ?? 0), 0);
          expect(total <= 100 || inFlight.length === 1).toBe(true);
        };
        const answer = (): void => {
          const item = inFlight.shift();
          send(item === undefined ? [] : window.release(bytes[item] ?? 0));
        };
        bytes.forEach((size, item) => {
          send(window.add(item, size));
          if (answersFirst.next().value === true) {
            answer();
          }
        });
        while (inFlight.length > 0) {
          answer();
        }
        expect(sent).toEqual(bytes.map((_, item) => item));
      }),
      { seed: SEED },
    );
  });
});
