use std::{rc::Rc, time::Duration};

use async_std::task::sleep;
use base::{Millis, event, now};

use crate::state::Node;

/// Share of the grace period in which new requests are still accepted.
const ACCEPT_SHARE: f64 = 0.72;
/// Interval at which the clock and the requests in flight are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Hands leadership over, accepts requests for most of the grace period, and then waits
/// for those in flight.
pub(crate) async fn run(node: &Rc<Node>) {
    let started = now().mono;
    event!("stop_asked", vm = node.me.name);
    node.shared.borrow_mut().election.leaving = true;
    let accept_until =
        started + (node.settings.limits.grace_period as f64 * ACCEPT_SHARE) as Millis;
    while now().mono < accept_until {
        sleep(POLL_INTERVAL).await;
    }
    let deadline = started + (node.settings.limits.grace_period as f64 * 0.95) as Millis;
    while node.inflight.get() > 0 && now().mono < deadline {
        sleep(POLL_INTERVAL).await;
    }
    event!("stopped", vm = node.me.name, inflight = node.inflight.get());
}
