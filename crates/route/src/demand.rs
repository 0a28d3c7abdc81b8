use base::Millis;

/// Length of a measuring window, in milliseconds.
const PEAK_WINDOW: Millis = 2000;
/// Slots requested beyond the peak.
const SLOT_MARGIN: u32 = 2;

/// Estimates how many slots an entry VM needs from the peak number of running and
/// waiting requests in the current and the previous window.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    peak: u32,
    previous_peak: u32,
    window_start: Millis,
}

impl Demand {
    /// Records the number of running and waiting requests at `now`, in milliseconds
    /// on the monotonic clock.
    pub fn record(&mut self, now: Millis, requests: u32) {
        if now >= self.window_start + PEAK_WINDOW {
            self.previous_peak = self.peak;
            self.peak = 0;
            self.window_start = now;
        }
        self.peak = self.peak.max(requests);
    }

    /// Returns the number of slots to request.
    pub fn slots_needed(&self) -> u32 {
        self.peak.max(self.previous_peak) + SLOT_MARGIN
    }
}
