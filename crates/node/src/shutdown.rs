use std::{rc::Rc, time::Duration};

use async_std::task::sleep;
use base::{Millis, event, now};
use http::Server;

use crate::state::Node;

/// Share of the grace period in which new requests are accepted. Later ones are refused at once.
const ACCEPT_SHARE: f64 = 0.72;
/// Share of the grace period within which accepted requests are decided.
const DECIDE_SHARE: f64 = 0.85;
/// Share of the grace period after which the process ends, whatever is still in flight.
const END_SHARE: f64 = 0.95;
/// Interval at which the clock and the requests in flight are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The times of a graceful shutdown, on the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Drain {
    /// Until when new requests are accepted.
    accept_until: Millis,
    /// Until when accepted requests are decided.
    decide_until: Millis,
    /// When the process ends at the latest.
    end_at: Millis,
}

impl Drain {
    fn new(grace_period: Millis, now: Millis) -> Drain {
        let after = |share| now + (grace_period as f64 * share) as Millis;
        Drain {
            accept_until: after(ACCEPT_SHARE),
            decide_until: after(DECIDE_SHARE),
            end_at: after(END_SHARE),
        }
    }

    /// Returns whether a request that arrives now can no longer be answered in time.
    pub(crate) fn refuses(&self, now: Millis) -> bool {
        now >= self.accept_until
    }
}

impl Node {
    /// Returns the deadline of a decision, which is sooner than `deadline` if the process ends
    /// before.
    pub(crate) fn cap_deadline(&self, deadline: Millis) -> Millis {
        self.drain.get().map_or(deadline, |drain| deadline.min(drain.decide_until))
    }
}

/// Hands leadership over, accepts requests for most of the grace period, and then waits until
/// all responses are written. Connections of callers close after their next response.
pub(crate) async fn run(node: &Rc<Node>, callers: &Server) {
    let started = now().mono;
    event!("stop_asked", vm = node.me.name);
    node.shared.borrow_mut().election.leaving = true;
    let drain = Drain::new(node.settings.limits.grace_period, started);
    node.drain.set(Some(drain));
    callers.drain();
    let inflight = || callers.inflight() + node.forwarded.get();
    while !drain.refuses(now().mono) || (inflight() > 0 && now().mono < drain.end_at) {
        if now().mono >= drain.decide_until {
            node.shared.borrow_mut().fail_waiters();
        }
        sleep(POLL_INTERVAL).await;
    }
    event!("stopped", vm = node.me.name, inflight = inflight());
}
