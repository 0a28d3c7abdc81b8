use base::Millis;

/// Time for which a peak of demand is remembered.
const MEMORY: Millis = 2000;
/// Slots asked for beyond the peak.
const MARGIN: u32 = 2;

/// How many slots an entry VM needs: the peak of requests running and waiting
/// in the last seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    peak: u32,
    before: u32,
    turned: Millis,
}

impl Demand {
    /// Notes how many requests run and wait at `now`.
    pub fn note(&mut self, now: Millis, requests: u32) {
        if now >= self.turned + MEMORY {
            self.before = self.peak;
            self.peak = 0;
            self.turned = now;
        }
        self.peak = self.peak.max(requests);
    }

    /// Slots to ask for.
    pub fn want(&self) -> u32 {
        self.peak.max(self.before) + MARGIN
    }
}
