use base::{Millis, Name};
use serde::{Deserialize, Serialize};

/// The operator's configuration. A version takes effect as a whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Version number; each publication has a higher one.
    pub version: u64,
    /// Queues that callers submit jobs to.
    pub queues: Vec<Queue>,
}

/// A queue of jobs, selected by the host and path of a request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Unique name.
    pub name: Name,
    /// Host that requests to the queue name, without a port.
    pub host: Name,
    /// Path prefix of requests to the queue.
    pub prefix: Name,
    /// Service (pool of workers) that runs its tasks.
    pub service: Name,
    /// Priority; 0 is the highest and may preempt others.
    pub priority: u32,
    /// Failed runs of one task after which the job fails.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Factor of the completion objective: a job should complete within `stretch`
    /// times its critical path (longest chain of step estimates) plus `target`.
    pub stretch: f64,
    /// Fixed part of the completion objective, added to the stretched critical path.
    #[serde(rename = "target")]
    pub allowance: Millis,
    /// Whether its tasks need a ticket of the policy service for the worker that runs them.
    #[serde(rename = "advised")]
    pub needs_ticket: bool,
}

impl Manifest {
    /// Returns the queue with the longest path prefix that matches a host and path,
    /// and the rest of the path; `None` where no queue matches.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let matches =
            |q: &&Queue| q.host.eq_ignore_ascii_case(host) && path.starts_with(&*q.prefix);
        let queue = self.queues.iter().filter(matches).max_by_key(|q| q.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }
}
