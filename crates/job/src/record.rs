use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::{Queue, Spec, TaskId};

/// Stored record of an accepted job. It is written once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Settings of the queue at the time of acceptance.
    pub queue: Queue,
    /// Specification as submitted.
    pub spec: Spec,
    /// Time of acceptance, in Unix milliseconds.
    #[serde(rename = "accepted")]
    pub accepted_at: Millis,
}

/// Stored record of a job's progress. Each write replaces the one before.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether the job has failed; it is not retried.
    pub failed: bool,
    /// Time at which the job ended, in Unix milliseconds; 0 until then.
    #[serde(rename = "ended")]
    pub ended_at: Millis,
    /// Occurrences whose tasks are all done, in order of completion.
    pub finished: Vec<u32>,
    /// Occurrences in progress, with the progress of each step.
    #[serde(rename = "open")]
    pub in_progress: Vec<(u32, Vec<StepProgress>)>,
    /// Tasks that are not done, by occurrence, step and index, with the crashes that they may
    /// have caused. Records of earlier versions end before this field.
    #[serde(deserialize_with = "or_default")]
    pub crashes: Vec<(u32, u32, u32, Vec<Crash>)>,
}

/// Stored summary of the progress of a job whose tasks are in records of their own, in place of
/// [`Progress`]. Each write replaces the one before.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether the job has failed; it is not retried.
    pub failed: bool,
    /// Time at which the job ended, in Unix milliseconds; 0 until then.
    pub ended_at: Millis,
    /// Number of occurrences that have begun. The tasks of those that are not in progress are done.
    pub begun: u32,
    /// Occurrences in progress, as ranges: the first one and their number.
    pub open: Vec<(u32, u32)>,
}

/// Stored progress of some consecutive tasks of one occurrence, by their number within it. Each
/// write replaces the one before.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartProgress {
    /// Tasks that are done.
    pub done: Vec<u32>,
    /// Tasks that are not done, with the numbers of their failed runs.
    pub failed: Vec<(u32, Vec<u64>)>,
    /// Tasks without a run, with the checkpoint to resume from.
    pub checkpoints: Vec<(u32, Name)>,
    /// Tasks that are not done, with the crashes that they may have caused.
    pub crashes: Vec<(u32, Vec<Crash>)>,
}

impl PartProgress {
    /// Returns whether it says no more than a missing record.
    pub fn is_empty(&self) -> bool {
        *self == PartProgress::default()
    }
}

/// A crash of a worker that a task may have caused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Address of the worker that crashed, which it keeps where it comes back under another
    /// identifier. Records of earlier versions have the identifier.
    #[serde(rename = "worker")]
    pub machine: Name,
    /// Incarnation of the worker that crashed.
    pub incarnation: u64,
    /// Whether no other task can have caused it.
    pub sole: bool,
    /// Whether the worker had confirmed that it started the task.
    pub confirmed: bool,
}

/// Reads a field that is missing at the end of earlier records.
fn or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

/// Progress of the tasks of one step.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Indexes of the tasks that are done.
    pub done: Vec<u32>,
    /// Tasks that are not done, by index, with the numbers of their failed runs.
    pub failed: Vec<(u32, Vec<u64>)>,
    /// Tasks without a run, by index, with the checkpoint to resume from.
    #[serde(rename = "saved")]
    pub checkpoints: Vec<(u32, Name)>,
}

/// Stored record of a worker that may have runs, so that a new leader contacts it
/// even when the store lists it no longer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Address of the worker.
    pub addr: std::net::SocketAddr,
    /// Incarnation of the worker: the time of its start, in Unix milliseconds.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Whether it has restarted a short time ago, so that it may hold the longest lease, granted by
    /// a deadline on the clock of an earlier incarnation. Records of earlier versions end before
    /// this field.
    #[serde(deserialize_with = "or_default")]
    pub long_leases: bool,
    /// All runs that it may still have, if it gets no more work: tasks without one need not wait for
    /// it. `None` if it may get work. Records of earlier versions end before this field.
    #[serde(deserialize_with = "or_default")]
    pub last_runs: Option<Vec<LastRun>>,
    /// Starts without a reply, which may still arrive. Records of earlier versions end before this
    /// field.
    #[serde(deserialize_with = "or_default")]
    pub starts_in_doubt: Vec<StartInDoubt>,
}

/// A start command without a reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartInDoubt {
    /// Task that it starts.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// When it was sent, in Unix milliseconds.
    pub sent_at: Millis,
}

/// A run that a worker may still have when it gets no more work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LastRun {
    /// Task that it runs.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Whether a command for it has no reply, so that it may begin later than the worker lists its
    /// runs.
    pub in_doubt: bool,
}
