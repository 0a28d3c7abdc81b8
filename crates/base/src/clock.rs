use rustix::time::{ClockId, clock_gettime};

use crate::Millis;

/// One reading of the monotonic and the wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time: milliseconds of `CLOCK_BOOTTIME`, which goes on while the VM is
    /// suspended, so that its leases expire meanwhile. Leases between entry VMs are
    /// measured on it.
    pub mono: Millis,
    /// Wall-clock time: milliseconds since the Unix epoch. Deadlines sent to backend
    /// servers are given in it.
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
