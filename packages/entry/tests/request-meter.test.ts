import { EventRing, Metrics, SystemTimerService } from '@sequoiaquay/runtime';
import { LatencyHistograms } from '@sequoiaquay/runtime';
import { expect, it } from 'vitest';
import { RequestMeter } from '../src/request-meter';

const REQUEST = { id: 'r1', job: 'quote', pool: 'bookings' };

function createMeter(): { meter: RequestMeter; metrics: Metrics; ring: EventRing } {
  const metrics = new Metrics();
  const ring = new EventRing('entry-0', 100, new SystemTimerService());
  return { meter: new RequestMeter(ring, new LatencyHistograms(), metrics), metrics, ring };
}

it('counts each finished request once, by outcome and reason', async () => {
  const { meter, metrics, ring } = createMeter();
  meter.recordAccepted(REQUEST);
  meter.recordAnswered(REQUEST, 20);
  meter.recordRefused(REQUEST, { outcome: 'not-run', reason: 'no-target' });
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

it('uses one label for all unknown names, so that callers cannot add time series', async () => {
  const { meter, metrics } = createMeter();
  for (let index = 0; index < 100; index += 1) {
    const req = { id: 'r', job: `j${index}`, pool: `p${index}` };
    meter.recordRefused(req, { outcome: 'not-run', reason: 'unknown-pool' });
  }
  const series = (await metrics.renderText())
    .split('\n')
    .filter((line) => line.startsWith('sequoiaquay_requests_total{'));
  expect(series).toEqual([
    'sequoiaquay_requests_total{job="(unknown)",pool="(unknown)",outcome="not-run",reason="unknown-pool"} 100',
  ]);
});
