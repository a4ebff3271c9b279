/** Times of the succession of leaders for tests, in ms. */
export const SUCCESSION = {
  handoverIntervalMs: 2000,
  holdBackMs: 100,
  maxRequestDelayMs: 100,
  maxUnfitDelayMs: 300,
  minReachableMs: 100,
  minTermMs: 300,
  quietAfterLossMs: 2000,
  requestIntervalMs: 500,
};
