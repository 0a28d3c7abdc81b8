use rustix::time::{ClockId, clock_gettime};

use crate::Millis;

/// One reading of both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Milliseconds of `CLOCK_BOOTTIME`, which also counts suspension. Leases
    /// between entry VMs are measured on it.
    pub mono: Millis,
    /// Milliseconds since the Unix epoch. Deadlines sent to backend servers
    /// are given on it.
    pub unix: Millis,
}

/// Reads both clocks.
pub fn now() -> Now {
    Now { mono: read(ClockId::Boottime), unix: read(ClockId::Realtime) }
}

fn read(clock: ClockId) -> Millis {
    let time = clock_gettime(clock);
    time.tv_sec as Millis * 1000 + time.tv_nsec as Millis / 1_000_000
}
