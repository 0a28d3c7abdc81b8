use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Now, event};
use job::{StepId, TaskId};
use port::PolicyReply;

use crate::{Command, Lead};

/// Limit of workers named in one request.
const MAX_WORKERS_PER_REQUEST: usize = 30;
/// Limit of requests in flight.
const MAX_REQUESTS_IN_FLIGHT: usize = 8;
/// Remaining validity below which a ticket is not used, in milliseconds.
const MIN_TICKET_VALIDITY: Millis = 400;
/// Delay before a request that got no reply is repeated, in milliseconds.
const RETRY_DELAY: Millis = 300;

/// Replies of the policy service for one step.
#[derive(Debug, Default)]
pub(crate) struct StepPolicy {
    /// Tickets by worker: the ticket, when it expires, and the worker's incarnation that it
    /// is valid for.
    tickets: BTreeMap<Name, (Name, Millis, u64)>,
    /// Workers that the policy service did not allow.
    denied: BTreeSet<Name>,
    in_flight: bool,
    retry_at: Millis,
}

impl Lead {
    /// Whether the queue of a task requires tickets.
    pub(crate) fn needs_ticket(&self, id: &TaskId) -> bool {
        self.jobs.get(&id.job).is_some_and(|job| job.queue.needs_ticket)
    }

    /// Returns a valid ticket for a task on a worker.
    pub(crate) fn ticket(&self, id: &TaskId, worker: &Name, now: Now) -> Option<Name> {
        let (ticket, expiry, valid_for) = self.policies.get(&id.step_id())?.tickets.get(worker)?;
        let incarnation = self.workers.get(worker)?.info.incarnation;
        (now.mono + MIN_TICKET_VALIDITY < *expiry && *valid_for == incarnation)
            .then(|| ticket.clone())
    }

    /// Requests tickets for a waiting task, unless a request for its step is in flight or was
    /// sent recently.
    pub(crate) fn request_ticket(&mut self, id: &TaskId, now: Now) {
        let step = id.step_id();
        let in_flight = self.policies.values().filter(|policy| policy.in_flight).count();
        let policy = self.policies.entry(step.clone()).or_default();
        if policy.in_flight || now.mono < policy.retry_at || in_flight >= MAX_REQUESTS_IN_FLIGHT {
            return;
        }
        let denied = policy.denied.clone();
        let known: BTreeSet<Name> = policy.tickets.keys().cloned().collect();
        let mut workers = self.feasible_workers(id, now);
        workers.retain(|worker| !denied.contains(worker));
        // Workers allowed before come first: they still are, and only their tickets have expired.
        workers.sort_by_key(|worker| !known.contains(worker));
        workers.truncate(MAX_WORKERS_PER_REQUEST);
        let Some(policy) = self.policies.get_mut(&step) else { return };
        policy.retry_at = now.mono + RETRY_DELAY;
        if workers.is_empty() {
            return;
        }
        policy.in_flight = true;
        event!("ask_policy", step = step, workers = workers.len());
        self.commands.push(Command::AskPolicy(step, workers));
    }

    /// Records the policy service's reply about the workers named in a request.
    pub fn on_policy_reply(
        &mut self,
        step: &StepId,
        requested: &[Name],
        reply: Result<PolicyReply, String>,
        now: Now,
    ) {
        let Some(policy) = self.policies.get_mut(step) else { return };
        policy.in_flight = false;
        let allowed = match reply {
            Ok(allowed) => allowed,
            Err(why) => {
                policy.retry_at = now.mono + RETRY_DELAY;
                event!("policy_silent", step = step, why = why);
                return;
            }
        };
        policy.retry_at = now.mono;
        event!("policy", step = step, asked = requested.len(), allowed = allowed.tickets.len());
        policy.denied.extend(requested.iter().cloned());
        for (worker, ticket) in allowed.tickets {
            policy.denied.remove(&worker);
            let Some(current) = self.workers.get(&worker).map(|w| w.info.incarnation) else {
                continue;
            };
            policy.tickets.insert(worker, (ticket, now.mono + allowed.valid, current));
        }
    }

    /// Discards a ticket that a worker has rejected.
    pub(crate) fn discard_ticket(&mut self, id: &TaskId, worker: &Name) {
        if let Some(policy) = self.policies.get_mut(&id.step_id()) {
            policy.tickets.remove(worker);
        }
    }
}
