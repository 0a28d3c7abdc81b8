use std::{rc::Rc, time::Duration};

use async_std::{future::timeout, task::sleep};
use base::{Millis, Name, event, now};
use futures::channel::oneshot;
use job::Queue;
use lead::Submitted;
use port::{Incoming, Reply, Verb};
use wire::Method;

use crate::{
    msg::{PeerRequest, Work, WorkReply, WorkRequest},
    state::{Node, Outcome, Waiter},
};

/// Time that a caller waits if its request does not say.
const DEFAULT_WAIT: Millis = 3_000;
/// Share of a caller's wait within which the request is retried.
const WAIT_SHARE: f64 = 0.6;
/// Timeout of a request forwarded to the leader.
const FORWARD_TIMEOUT: Millis = 1_300;
/// Time within which a change must become durable.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Age of an append without a reply beyond which changes are refused.
const MAX_APPEND_AGE: Millis = 350;
/// Delay before the next attempt to reach the leader.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Interval at which newer evidence of leadership is polled.
const EVIDENCE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Seconds after which a caller should retry a refused request.
const RETRY_AFTER: u32 = 1;
/// Upper bound, in seconds, of the retry delay given to callers while the store is
/// unavailable. The delay grows with the outage, so that a caller's retries outlast one of
/// several seconds.
const MAX_RETRY_AFTER: u32 = 3;
/// Largest encoded specification of a job, well within a record of the store. A record that the
/// store refuses would block all later ones.
const MAX_SPEC_BYTES: usize = 128 * 1024;
/// Length of a job id, in hexadecimal digits.
const JOB_ID_LENGTH: usize = 16;

/// Answers a caller's request and records how long it took.
pub(crate) async fn answer(node: &Rc<Node>, incoming: Incoming) -> Reply {
    let started = now().mono;
    if node.drain.get().is_some_and(|drain| drain.refuses(started)) {
        return Reply::NotDone(RETRY_AFTER);
    }
    let reply = route(node, &incoming).await;
    metrics::histogram!("request_ms").record((now().mono - started) as f64);
    reply
}

/// Finds the queue of a request, and passes the request to the leader.
async fn route(node: &Rc<Node>, incoming: &Incoming) -> Reply {
    let Some(manifest) = node.shared.borrow().manifest.clone() else {
        return Reply::NotDone(RETRY_AFTER);
    };
    let Some((queue, rest)) = manifest.route(&incoming.host, &incoming.path) else {
        event!("no_queue", host = incoming.host, path = incoming.path, version = manifest.version);
        return Reply::NoQueue;
    };
    let work = match parse_work(&incoming.verb, queue, rest) {
        Ok(work) => work,
        Err(why) => {
            event!("bad_request", queue = queue.name, id = rest, why = why);
            return Reply::Bad(why);
        }
    };
    let wait = incoming.wait.unwrap_or(DEFAULT_WAIT);
    let deadline = now().mono + (wait as f64 * WAIT_SHARE) as Millis;
    let started = now().mono;
    let reply = deliver(node, &work, deadline).await;
    if !matches!(reply, Reply::State(_) | Reply::Pending(_)) {
        let took = now().mono - started;
        event!("answer", queue = queue.name, id = rest, reply = format!("{reply:?}"), ms = took);
    }
    reply
}

/// Returns the work that a request stands for, or why the request is invalid.
fn parse_work(verb: &Verb, queue: &Queue, id: &str) -> Result<Work, String> {
    if id.is_empty() && *verb == Verb::Show {
        return Ok(Work::Pending(queue.name.clone()));
    }
    if id.len() != JOB_ID_LENGTH || !id.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err("the id of a job is 16 hexadecimal digits".to_owned());
    }
    match verb {
        Verb::Submit(Ok(spec)) => {
            spec.check().map_err(|fault| fault.to_string())?;
            let size = postcard::to_stdvec(spec).map_err(|e| e.to_string())?.len();
            if size > MAX_SPEC_BYTES {
                return Err(format!("the job takes {size} bytes, more than {MAX_SPEC_BYTES}"));
            }
            Ok(Work::Submit(queue.clone(), id.into(), spec.clone()))
        }
        Verb::Submit(Err(why)) => Err(format!("body: {why}")),
        Verb::Show => Ok(Work::Show(id.into())),
        Verb::Cancel => Ok(Work::Cancel(id.into())),
        Verb::Unknown => Err("method is not one of POST, GET, DELETE".to_owned()),
    }
}

/// Delivers the work to the current leader, with retries until `deadline`.
async fn deliver(node: &Rc<Node>, work: &Work, deadline: Millis) -> Reply {
    let mut in_doubt = false;
    loop {
        match attempt(node, work, deadline, true).await {
            Attempt::Replied(Reply::NotDone(_)) if in_doubt => return Reply::InDoubt,
            Attempt::Replied(Reply::InDoubt) | Attempt::Lost => in_doubt = true,
            Attempt::Replied(reply) => return reply,
            Attempt::Unsent => {}
        }
        if now().mono >= node.cap_deadline(deadline) {
            let is_change = matches!(work, Work::Submit(..) | Work::Cancel(_));
            let in_doubt = in_doubt || !is_change;
            return if in_doubt { Reply::InDoubt } else { Reply::NotDone(RETRY_AFTER) };
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Result of one attempt to have the leader do some work.
enum Attempt {
    /// The leader has replied.
    Replied(Reply),
    /// The work has not reached the leader.
    Unsent,
    /// There was no reply, and the leader may have done the work.
    Lost,
}

/// Does the work if this VM may decide, else forwards it. With `relay`, the receiver may
/// forward it once more.
async fn attempt(node: &Rc<Node>, work: &Work, deadline: Millis, relay: bool) -> Attempt {
    let time = now().mono;
    if node.shared.borrow().may_decide(time) {
        return decide(node, work).await.map_or(Attempt::Unsent, Attempt::Replied);
    }
    if let Some(reply) = node.shared.borrow().reply_unconfirmed(work, time) {
        return Attempt::Replied(reply);
    }
    let next_hop = node.shared.borrow().election.next_hop(time);
    let Some(vm) = next_hop.filter(|vm| vm.name != node.me.name) else { return Attempt::Unsent };
    let link = node.link(&vm);
    let request = PeerRequest::Work(WorkRequest { work: work.clone(), relay });
    let left = node.cap_deadline(deadline).saturating_sub(time).clamp(100, FORWARD_TIMEOUT);
    match link.call::<_, WorkReply>(Method::Work, &request, Duration::from_millis(left)).await {
        Ok(Some(reply)) => Attempt::Replied(reply),
        Ok(None) => Attempt::Unsent,
        Err(e) if e.is_unsent() => Attempt::Unsent,
        Err(e) => {
            log::debug!("event=request_lost to={} reason={:?}", vm.name, e.to_string());
            Attempt::Lost
        }
    }
}

/// Answers work that another VM has forwarded; `None` if it did not reach the leader.
pub(crate) async fn answer_forwarded(node: &Rc<Node>, request: WorkRequest) -> WorkReply {
    node.forwarded.set(node.forwarded.get() + 1);
    let reply = route_forwarded(node, request).await;
    node.forwarded.set(node.forwarded.get() - 1);
    reply
}

async fn route_forwarded(node: &Rc<Node>, request: WorkRequest) -> WorkReply {
    let time = now().mono;
    if node.shared.borrow().may_decide(time) {
        return decide(node, &request.work).await;
    }
    if let Some(reply) = node.shared.borrow().reply_unconfirmed(&request.work, time) {
        return Some(reply);
    }
    if !request.relay {
        return None;
    }
    match attempt(node, &request.work, time + FORWARD_TIMEOUT, false).await {
        Attempt::Replied(reply) => Some(reply),
        Attempt::Unsent => None,
        Attempt::Lost => Some(Reply::InDoubt),
    }
}

/// Does the work as the leader; `None` if this VM is not the leader.
async fn decide(node: &Rc<Node>, work: &Work) -> WorkReply {
    match work {
        Work::Submit(queue, id, spec) => {
            let submitted = {
                let mut shared = node.shared.borrow_mut();
                let known = shared.lead.as_ref()?.jobs.contains_key(id);
                if let Some(after) = shared.retry_after().filter(|_| !known) {
                    return Some(Reply::NotDone(after));
                }
                shared.lead.as_mut()?.submit(id, queue, spec.clone(), now())
            };
            await_durable(node, submitted, id, Reply::Accepted).await
        }
        Work::Cancel(id) => {
            if let Some(after) = node.shared.borrow().retry_after() {
                return Some(Reply::NotDone(after));
            }
            // A job can be cancelled once its submission is durable.
            let known = node.shared.borrow().lead.as_ref()?.submitted(id);
            if let Some(pending @ Submitted::Pending(_)) = known {
                let reply = await_durable(node, pending, id, Reply::Cancelled).await;
                if reply == Some(Reply::InDoubt) {
                    return reply;
                }
            }
            let submitted = node.shared.borrow_mut().lead.as_mut()?.cancel(id, now());
            if submitted == Submitted::NoJob {
                return confirm_absence(node, id).await;
            }
            await_durable(node, submitted, id, Reply::Cancelled).await
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

/// Answers that a job to be cancelled does not exist, once the store shows that no other VM had
/// taken over when the request came: a successor may have accepted the job. `None` if one has.
async fn confirm_absence(node: &Rc<Node>, id: &Name) -> WorkReply {
    let since = now().mono;
    while now().mono < since + STORE_TIMEOUT.as_millis() as Millis {
        {
            let shared = node.shared.borrow();
            if shared.lead.as_ref()?.jobs.contains_key(id) {
                break;
            }
            if shared.election.unclaimed_at() > since {
                return Some(Reply::NoJob);
            }
        }
        sleep(EVIDENCE_POLL_INTERVAL).await;
    }
    Some(Reply::NotDone(RETRY_AFTER))
}

/// Waits until a change is durable and returns `done`. If it times out, a new job is
/// withdrawn where possible, and the change is in doubt otherwise.
async fn await_durable(node: &Rc<Node>, submitted: Submitted, id: &Name, done: Reply) -> WorkReply {
    let batch_no = match submitted {
        Submitted::Durable => return Some(done),
        Submitted::NoJob => return Some(Reply::NoJob),
        Submitted::Pending(batch_no) => batch_no,
    };
    let (sender, receiver) = oneshot::channel();
    let waiter = Waiter { batch_no, job: id.clone(), sender };
    node.shared.borrow_mut().waiters.push(waiter);
    node.append_wakeup.notify();
    match timeout(STORE_TIMEOUT, receiver).await {
        Ok(Ok(Outcome::Durable)) => Some(done),
        Ok(Ok(Outcome::Withdrawn)) => Some(Reply::NotDone(RETRY_AFTER)),
        Ok(_) => Some(Reply::InDoubt),
        Err(_) => {
            let mut shared = node.shared.borrow_mut();
            let withdrawn = done == Reply::Accepted
                && shared.lead.as_mut().is_some_and(|lead| lead.withdraw(id));
            Some(if withdrawn { Reply::NotDone(RETRY_AFTER) } else { Reply::InDoubt })
        }
    }
}

impl crate::state::Shared {
    /// Returns the reply of a leader that the store does not answer and that may not decide: what
    /// is durable is true whoever leads now, and nothing else can be done. `None` on other VMs.
    fn reply_unconfirmed(&self, work: &Work, now: Millis) -> Option<Reply> {
        let lead = self.lead.as_ref().filter(|_| self.election.has_lost_store(now))?;
        Some(match work {
            Work::Submit(_, id, _) => match lead.submitted(id) {
                Some(Submitted::Durable) => Reply::Accepted,
                Some(_) => Reply::InDoubt,
                None => Reply::NotDone(RETRY_AFTER),
            },
            Work::Show(id) => lead.state(id).map_or(Reply::NotDone(RETRY_AFTER), Reply::State),
            Work::Cancel(_) | Work::Pending(_) => Reply::NotDone(RETRY_AFTER),
        })
    }

    /// Returns the seconds after which a caller should retry, `None` unless appends
    /// fail or hang.
    fn retry_after(&self) -> Option<u32> {
        let overdue = self.append_started > 0 && now().mono > self.append_started + MAX_APPEND_AGE;
        if self.unavailable_since == 0 && !overdue {
            return None;
        }
        let since =
            if self.unavailable_since > 0 { self.unavailable_since } else { self.append_started };
        let seconds = (now().mono.saturating_sub(since) / 1000) as u32;
        Some(seconds.clamp(RETRY_AFTER, MAX_RETRY_AFTER))
    }
}
