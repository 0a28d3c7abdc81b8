use std::{rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Millis, Now, event, now};
use elect::{Heartbeat, Purpose};

use crate::{
    claim, manifest,
    send::{send, send_all},
    state::{Node, Shared},
};

/// Interval of the ticker.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Store outage after which a leader hands over to a VM that can reach the store.
const MAX_STORE_OUTAGE: Millis = 400;
/// Interval between two checks of the members of the cell.
const MEMBERS_INTERVAL: Millis = 1_000;
/// Interval between two takeover requests.
const TAKEOVER_INTERVAL: Millis = 200;
/// Gap between two ticks beyond which the process counts as having been suspended.
const MAX_TICK_GAP: Millis = 1_000;
/// Weight of one tick in the smoothed lag.
const LAG_SMOOTHING: f64 = 0.1;
/// Smoothed lag, in milliseconds, beyond which it is logged.
const LAG_THRESHOLD: f64 = 40.0;
/// Interval between two log lines about lag.
const LAG_LOG_INTERVAL: Millis = 500;
/// Size of the receive buffer for one datagram, in bytes.
const MAX_DATAGRAM: usize = 16 * 1024;

/// Spawns the loop that receives heartbeats.
pub(crate) fn spawn_receiver(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((length, _)) = node.socket.recv_from(&mut buffer).await else {
                sleep(TICK_INTERVAL).await;
                continue;
            };
            match postcard::from_bytes::<Heartbeat>(&buffer[..length]) {
                Ok(heartbeat) => receive(&node, heartbeat).await,
                Err(e) => log::warn!("event=datagram_skipped reason={e:?}"),
            }
        }
    })
}

/// Applies a heartbeat: replies to a query, steps down for a higher epoch, claims
/// leadership on request.
async fn receive(node: &Rc<Node>, heartbeat: Heartbeat) {
    let time = now();
    let from = heartbeat.from.clone();
    let (purpose, epoch) = (heartbeat.purpose, heartbeat.epoch);
    let reply = {
        let mut shared = node.shared.borrow_mut();
        let known = shared.election.epoch();
        shared.election.on_heartbeat(heartbeat, time.mono);
        if epoch > known {
            shared.relay.on_epoch(epoch);
            event!("leader_heard", epoch = epoch, from = from.name);
        }
        // A new leader needs to know at once which VMs are alive.
        let replies = purpose == Purpose::Query || epoch > known;
        replies.then(|| shared.election.heartbeat(Purpose::Report, time.mono))
    };
    let deposed = node.shared.borrow().lead.as_ref().is_some_and(|lead| lead.epoch < epoch);
    if deposed {
        node.depose(&format!("{} reports epoch {epoch}", from.name));
    }
    if let Some(reply) = reply {
        send(node, &from, &reply).await;
    }
    manifest::fetch(node);
    if purpose == Purpose::TakeOver {
        claim::claim_if_due(node);
    }
}

/// State of the ticker. Times are monotonic milliseconds, 0 before the first event.
#[derive(Debug, Default)]
struct Ticker {
    /// Last takeover request.
    takeover_at: Millis,
    /// Last check of the members of the cell.
    members_at: Millis,
    /// Previous tick.
    ticked_at: Millis,
    /// Smoothed lateness of ticks, in milliseconds.
    lag: f64,
    /// Last log line about lag.
    logged_at: Millis,
}

/// Spawns the loop that sends heartbeats and checks whether to claim leadership.
pub(crate) fn spawn_ticker(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        let mut ticker = Ticker::default();
        loop {
            tick(&node, &mut ticker, now()).await;
            sleep(TICK_INTERVAL).await;
        }
    })
}

/// Measures lag, sends heartbeats as due and starts manifest fetches and claims.
async fn tick(node: &Rc<Node>, ticker: &mut Ticker, now: Now) {
    if ticker.ticked_at > 0 && now.mono > ticker.ticked_at + MAX_TICK_GAP {
        event!("stopped_gap", ms = now.mono - ticker.ticked_at);
        node.shared.borrow_mut().election.on_suspension(now.mono);
    }
    let late = now.mono.saturating_sub(ticker.ticked_at + TICK_INTERVAL.as_millis() as Millis);
    if ticker.ticked_at > 0 {
        ticker.lag += LAG_SMOOTHING * (late as f64 - ticker.lag);
    }
    node.shared.borrow_mut().election.set_lag(ticker.lag as u32, now.mono);
    if ticker.lag > LAG_THRESHOLD && now.mono >= ticker.logged_at + LAG_LOG_INTERVAL {
        ticker.logged_at = now.mono;
        event!("lagging", ms = ticker.lag as Millis, leads = node.shared.borrow().lead.is_some());
    }
    ticker.ticked_at = now.mono;
    node.shared.borrow_mut().election.expire_peers(now.mono);
    if now.mono >= ticker.members_at + MEMBERS_INTERVAL {
        ticker.members_at = now.mono;
        save_members(node, now);
    }
    request_takeover(node, ticker, now).await;
    send_heartbeats(node, now).await;
    manifest::fetch(node);
    claim::claim_if_due(node);
    claim::query_if_due(node);
}

/// Requests that another VM take over if this leader has lost the store, is shutting
/// down or is overloaded.
async fn request_takeover(node: &Rc<Node>, ticker: &mut Ticker, now: Now) {
    let request = {
        let shared = node.shared.borrow();
        let store_lost =
            shared.unavailable_since > 0 && now.mono > shared.unavailable_since + MAX_STORE_OUTAGE;
        let unfit = store_lost
            || shared.election.has_lost_store(now.mono)
            || shared.election.leaving
            || shared.election.should_hand_over(now.mono);
        let wanted = shared.lead.is_some() && unfit;
        if !wanted || now.mono < ticker.takeover_at + TAKEOVER_INTERVAL {
            return;
        }
        let heartbeat = shared.election.heartbeat(Purpose::TakeOver, now.mono);
        shared.election.successor(now.mono).map(|vm| (vm, heartbeat))
    };
    ticker.takeover_at = now.mono;
    if let Some((vm, heartbeat)) = request {
        event!("hand_over", epoch = heartbeat.epoch, to = vm.name);
        node.shared.borrow_mut().election.on_takeover_requested(now.mono);
        send(node, &vm, &heartbeat).await;
    }
}

/// Records the members of the cell if they have changed.
fn save_members(node: &Node, now: Now) {
    let mut shared = node.shared.borrow_mut();
    let Shared { lead: Some(lead), election, .. } = &mut *shared else { return };
    let Some(members) = election.members_due(now.mono).filter(|_| lead.may_change_members(now))
    else {
        return;
    };
    let vms = members.len();
    if lead.save_members(members) {
        event!("members", epoch = lead.epoch, vms = vms);
        node.append_wakeup.notify();
    }
}

/// Sends the heartbeats that are due.
async fn send_heartbeats(node: &Rc<Node>, now: Now) {
    let (heartbeat, targets) = node.shared.borrow_mut().election.due_heartbeats(now.mono);
    send_all(node, &heartbeat, &targets).await;
}
