import { EventRing, Metrics, SystemTimerService } from '@sequoiaquay/runtime';
import { LatencyHistograms } from '@sequoiaquay/runtime';
import { expect, it } from 'vitest';
import { RequestMeter } from '../src/request-meter';

const REQUEST = { id: 'r1', job: 'quote', pool: 'bookings' };

function open(): { meter: RequestMeter; metrics: Metrics; ring: EventRing } {
  const metrics = new Metrics();
  const ring = new EventRing('entry-0', 100, new SystemTimerService());
  return { meter: new RequestMeter(ring, new LatencyHistograms(), metrics), metrics, ring };
}

it('counts each end of a request once, by outcome and reason', async () => {
  const { meter, metrics, ring } = open();
  meter.accepted(REQUEST);
  meter.answered(REQUEST, 20);
  meter.refused(REQUEST, { outcome: 'not-run', reason: 'no-target' });
  const text = await metrics.renderText();
  expect(text).toContain(
    'sequoiaquay_requests_total{job="quote",pool="bookings",outcome="answered",reason="answered"} 1',
  );
  expect(text).toContain(
    'sequoiaquay_requests_total{job="quote",pool="bookings",outcome="not-run",reason="no-target"} 1',
  );
  expect(text).toMatch(/sequoiaquay_request_seconds\{job="quote",pool="bookings",quantile="0.99"\} 0\.02\n/);
  expect(ring.list().map((event) => event.kind)).toEqual([
    'request-accepted',
    'request-answered',
    'request-refused',
  ]);
});

it('gives names that no settings know one label, so that callers cannot add series', async () => {
  const { meter, metrics } = open();
  for (let index = 0; index < 100; index += 1) {
    const req = { id: 'r', job: `j${index}`, pool: `p${index}` };
    meter.refused(req, { outcome: 'not-run', reason: 'unknown-pool' });
  }
  const series = (await metrics.renderText())
    .split('\n')
    .filter((line) => line.startsWith('sequoiaquay_requests_total{'));
  expect(series).toEqual([
    'sequoiaquay_requests_total{job="(unknown)",pool="(unknown)",outcome="not-run",reason="unknown-pool"} 100',
  ]);
});
