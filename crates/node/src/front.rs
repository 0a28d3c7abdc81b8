use std::{rc::Rc, time::Duration};

use async_std::{future::timeout, task::sleep};
use base::{Millis, Name, event, now};
use futures::channel::oneshot;
use job::Queue;
use lead::Submitted;
use port::{Incoming, Reply, Verb};
use wire::Method;

use crate::{
    msg::{Ask, Told, Work},
    state::Node,
};

/// Time that a caller waits who does not say so.
const WAIT: Millis = 3_000;
/// Share of a caller's time within which an answer is sought.
const SHARE: f64 = 0.6;
/// Time within which the leader must answer what is sent on to it.
const ASK_LIMIT: Millis = 1_300;
/// Time within which a change must be durable.
const STORE_LIMIT: Duration = Duration::from_millis(1_000);
/// Age of an append without an answer from which nothing new is taken.
const STALLED: Millis = 350;
/// Pause before the leader is sought again.
const PAUSE: Duration = Duration::from_millis(60);
/// Seconds after which a caller whose work was not taken should come again.
const COME_AGAIN: u32 = 1;
/// Greatest number of seconds after which a caller should come again while the
/// store is away. It grows with the outage, so that the tries of a caller outlast
/// one of several seconds.
const COME_AGAIN_MOST: u32 = 3;
/// Length of a job's identifier.
const ID_LENGTH: usize = 16;

/// Answers a caller.
pub(crate) async fn answer(node: &Rc<Node>, incoming: Incoming) -> Reply {
    node.inflight.set(node.inflight.get() + 1);
    let started = now().mono;
    let reply = route(node, &incoming).await;
    node.inflight.set(node.inflight.get() - 1);
    metrics::histogram!("request_ms").record((now().mono - started) as f64);
    reply
}

async fn route(node: &Rc<Node>, incoming: &Incoming) -> Reply {
    let Some(manifest) = node.shared.borrow().manifest.clone() else {
        return Reply::NotDone(COME_AGAIN);
    };
    let Some((queue, rest)) = manifest.route(&incoming.host, &incoming.path) else {
        event!("no_queue", host = incoming.host, path = incoming.path, version = manifest.version);
        return Reply::NoQueue;
    };
    let work = match work(&incoming.verb, queue, rest) {
        Ok(work) => work,
        Err(why) => {
            event!("bad_request", queue = queue.name, id = rest, why = why);
            return Reply::Bad(why);
        }
    };
    let wait = incoming.wait.unwrap_or(WAIT);
    let limit = now().mono + (wait as f64 * SHARE) as Millis;
    let started = now().mono;
    let reply = seek(node, &work, limit).await;
    if !matches!(reply, Reply::State(_) | Reply::Pending(_)) {
        let took = now().mono - started;
        event!("answer", queue = queue.name, id = rest, reply = format!("{reply:?}"), ms = took);
    }
    reply
}

/// What a request asks of the leader, or why it cannot be understood.
fn work(verb: &Verb, queue: &Queue, id: &str) -> Result<Work, String> {
    if id.is_empty() && *verb == Verb::Show {
        return Ok(Work::Pending(queue.name.clone()));
    }
    if id.len() != ID_LENGTH || !id.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err("the id of a job is 16 hexadecimal digits".to_owned());
    }
    match verb {
        Verb::Submit(Ok(spec)) => {
            spec.check().map_err(|fault| fault.to_string())?;
            Ok(Work::Submit(queue.clone(), id.into(), spec.clone()))
        }
        Verb::Submit(Err(why)) => Err(format!("body: {why}")),
        Verb::Show => Ok(Work::Show(id.into())),
        Verb::Cancel => Ok(Work::Cancel(id.into())),
        Verb::Unknown => Err("method is not one of POST, GET, DELETE".to_owned()),
    }
}

/// Brings the work to the leader, whoever that is by then.
async fn seek(node: &Rc<Node>, work: &Work, limit: Millis) -> Reply {
    let mut doubt = false;
    loop {
        match attempt(node, work, limit, true).await {
            Attempt::Told(Reply::NotDone(_)) if doubt => return Reply::InDoubt,
            Attempt::Told(Reply::InDoubt) | Attempt::Lost => doubt = true,
            Attempt::Told(reply) => return reply,
            Attempt::Unsent => {}
        }
        if now().mono >= limit {
            let changes = matches!(work, Work::Submit(..) | Work::Cancel(_));
            let doubt = doubt || !changes;
            return if doubt { Reply::InDoubt } else { Reply::NotDone(COME_AGAIN) };
        }
        sleep(PAUSE).await;
    }
}

enum Attempt {
    /// The leader has answered.
    Told(Reply),
    /// The leader has seen nothing of it.
    Unsent,
    /// The leader may have acted on it.
    Lost,
}

async fn attempt(node: &Rc<Node>, work: &Work, limit: Millis, relay: bool) -> Attempt {
    let time = now().mono;
    if node.shared.borrow().may_decide(time) {
        return decide(node, work).await.map_or(Attempt::Unsent, Attempt::Told);
    }
    let path = node.shared.borrow().elect.path(time);
    let Some(vm) = path.filter(|vm| vm.name != node.me.name) else { return Attempt::Unsent };
    let link = node.link(&vm);
    let ask = Ask { work: work.clone(), relay };
    let left = limit.saturating_sub(time).clamp(100, ASK_LIMIT);
    match link.call::<_, Told>(Method::Work, &ask, Duration::from_millis(left)).await {
        Ok(Some(reply)) => Attempt::Told(reply),
        Ok(None) => Attempt::Unsent,
        Err(e) if e.unsent() => Attempt::Unsent,
        Err(e) => {
            log::debug!("event=ask_lost to={} reason={:?}", vm.name, e.to_string());
            Attempt::Lost
        }
    }
}

/// Answers work that another VM has sent on.
pub(crate) async fn told(node: &Rc<Node>, ask: Ask) -> Told {
    let time = now().mono;
    if node.shared.borrow().may_decide(time) {
        return decide(node, &ask.work).await;
    }
    if !ask.relay {
        return None;
    }
    match attempt(node, &ask.work, time + ASK_LIMIT, false).await {
        Attempt::Told(reply) => Some(reply),
        Attempt::Unsent => None,
        Attempt::Lost => Some(Reply::InDoubt),
    }
}

/// Does the work as the leader; `None` where this VM does not lead.
async fn decide(node: &Rc<Node>, work: &Work) -> Told {
    match work {
        Work::Submit(queue, id, spec) => {
            let submitted = {
                let mut shared = node.shared.borrow_mut();
                let known = shared.lead.as_ref()?.jobs.contains_key(id);
                if let Some(after) = shared.stalled().filter(|_| !known) {
                    return Some(Reply::NotDone(after));
                }
                shared.lead.as_mut()?.submit(id, queue, spec.clone(), now())
            };
            settle(node, submitted, id, Reply::Accepted).await
        }
        Work::Cancel(id) => {
            let submitted = {
                let mut shared = node.shared.borrow_mut();
                if let Some(after) = shared.stalled() {
                    return Some(Reply::NotDone(after));
                }
                shared.lead.as_mut()?.cancel(id, now())
            };
            settle(node, submitted, id, Reply::Cancelled).await
        }
        Work::Show(id) => {
            let shared = node.shared.borrow();
            Some(shared.lead.as_ref()?.state(id).map_or(Reply::NoJob, Reply::State))
        }
        Work::Pending(queue) => {
            Some(Reply::Pending(node.shared.borrow().lead.as_ref()?.pending(queue)))
        }
    }
}

/// Waits until a change is durable.
async fn settle(node: &Rc<Node>, submitted: Submitted, id: &Name, done: Reply) -> Told {
    let mark = match submitted {
        Submitted::Known => return Some(done),
        Submitted::NoJob => return Some(Reply::NoJob),
        Submitted::Waiting(mark) => mark,
    };
    let (sender, receiver) = oneshot::channel();
    node.shared.borrow_mut().waiters.push((mark, sender));
    node.append.notify();
    match timeout(STORE_LIMIT, receiver).await {
        Ok(Ok(true)) => {
            // Another try of the same job may have taken it back meanwhile.
            let kept = node.shared.borrow().lead.as_ref()?.state(id).is_some();
            Some(if kept { done } else { Reply::NotDone(COME_AGAIN) })
        }
        Ok(_) => Some(Reply::InDoubt),
        Err(_) => {
            let mut shared = node.shared.borrow_mut();
            let withdrawn = done == Reply::Accepted && shared.lead.as_mut()?.withdraw(id);
            Some(if withdrawn { Reply::NotDone(COME_AGAIN) } else { Reply::InDoubt })
        }
    }
}

impl crate::state::Shared {
    /// Seconds after which to come again where the store does not take what is
    /// appended.
    fn stalled(&self) -> Option<u32> {
        let stuck = self.appending > 0 && now().mono > self.appending + STALLED;
        if self.away == 0 && !stuck {
            return None;
        }
        let since = if self.away > 0 { self.away } else { self.appending };
        let seconds = (now().mono.saturating_sub(since) / 1000) as u32;
        Some(seconds.clamp(COME_AGAIN, COME_AGAIN_MOST))
    }
}
