/** Time after which an unanswered order is no longer executed, in ms. */
export const LATE_ORDER_WINDOW_MS = 15_000;
