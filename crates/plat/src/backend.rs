use base::{Millis, Name, Size};
use serde::{Deserialize, Serialize};

/// Asks a backend server to run an attempt of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Task identifier.
    pub task: Name,
    /// Attempt, counted from 1. With `task` it is the idempotency key.
    pub attempt: u32,
    /// Ownership epoch of the cell that sends the start.
    pub epoch: u64,
    /// Kind of the task, which decides how it interferes with others.
    pub kind: Name,
    /// Resources committed to it.
    pub size: Size,
    /// The start is void when received after this moment (Unix milliseconds).
    pub before: Millis,
    /// The task is killed at this moment unless renewed (Unix milliseconds).
    pub lease: Millis,
    /// Work to do, in milliseconds on an idle server.
    pub work: Millis,
    /// Work done by earlier attempts, in the same unit.
    pub checkpoint: Millis,
    /// Command for the task, as the job gave it.
    pub command: Name,
}

/// Why a start was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// It came after its deadline.
    Late,
    /// A newer epoch of the cell is known here.
    Epoch,
    /// The server has not the room.
    Room,
    /// The attempt was stopped before it came.
    Stopped,
}

/// Answer to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartAnswer {
    /// It runs, or has run: a repeated start gets this as well.
    Started,
    /// It does not run.
    Refused(RefuseReason),
}

/// Extends the leases of tasks.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Renew {
    /// Task and attempt of each.
    pub tasks: Vec<(Name, u32)>,
    /// New end of the leases, in Unix milliseconds.
    pub lease: Millis,
}

/// Answer to a renewal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RenewAnswer {
    /// Those that do not run here.
    pub missing: Vec<(Name, u32)>,
}

/// Asks a backend server to checkpoint an attempt and stop it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Task identifier.
    pub task: Name,
    /// Attempt.
    pub attempt: u32,
    /// Whether to write a checkpoint first.
    pub checkpoint: bool,
}

/// Answer to a stop. The attempt does not run once this is received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopAnswer {
    /// Stopped, now or earlier, with this much work done.
    Stopped {
        /// Work done, in milliseconds on an idle server.
        checkpoint: Millis,
    },
    /// It had finished before.
    Finished,
    /// It had failed before.
    Failed,
    /// Never seen here; a start that comes later is refused.
    Unknown,
}

/// Asks a backend server to slow a task or to let it run freely again.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Throttle {
    /// Task identifier.
    pub task: Name,
    /// Attempt.
    pub attempt: u32,
    /// Speed in percent of full speed, from 1 to 100.
    pub percent: u64,
}

/// Reports whose outcome has been recorded, so that the server may forget them.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acknowledge {
    /// Task and attempt of each.
    pub tasks: Vec<(Name, u32)>,
}

/// What became of an attempt on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It runs.
    Running,
    /// It ended well.
    Finished,
    /// It ended with a failure.
    Failed,
    /// It was stopped on request, or its lease lapsed.
    Stopped,
}

/// One attempt that a backend server knows. As JSON it is an array of the fields
/// in order, since listings make up most of what control sends to a server.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(from = "ReportRow", into = "ReportRow")]
pub struct TaskReport {
    /// Task identifier.
    pub task: Name,
    /// Attempt.
    pub attempt: u32,
    /// What became of it.
    pub state: RunState,
    /// Kind of the task.
    pub kind: Name,
    /// Resources committed to it.
    pub size: Size,
    /// Work kept by the last checkpoint, in milliseconds on an idle server.
    pub checkpoint: Millis,
    /// End of its lease, in Unix milliseconds.
    pub lease: Millis,
}

type ReportRow = (Name, u32, RunState, Name, (u64, u64, u64), Millis, Millis);

impl From<ReportRow> for TaskReport {
    fn from((task, attempt, state, kind, size, checkpoint, lease): ReportRow) -> TaskReport {
        let size = Size { cpu: size.0, memory: size.1, accel: size.2 };
        TaskReport { task, attempt, state, kind, size, checkpoint, lease }
    }
}

impl From<TaskReport> for ReportRow {
    fn from(r: TaskReport) -> ReportRow {
        let size = (r.size.cpu, r.size.memory, r.size.accel);
        (r.task, r.attempt, r.state, r.kind, size, r.checkpoint, r.lease)
    }
}

/// Lagging usage of one task, as JSON an array of the fields in order.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(from = "UsageRow", into = "UsageRow")]
pub struct TaskUsage {
    /// Task identifier.
    pub task: Name,
    /// Attempt.
    pub attempt: u32,
    /// Resources in use.
    pub used: Size,
    /// Speed in percent of what the task would reach alone.
    pub speed: u64,
}

type UsageRow = (Name, u32, (u64, u64, u64), u64);

impl From<UsageRow> for TaskUsage {
    fn from((task, attempt, used, speed): UsageRow) -> TaskUsage {
        let used = Size { cpu: used.0, memory: used.1, accel: used.2 };
        TaskUsage { task, attempt, used, speed }
    }
}

impl From<TaskUsage> for UsageRow {
    fn from(u: TaskUsage) -> UsageRow {
        (u.task, u.attempt, (u.used.cpu, u.used.memory, u.used.accel), u.speed)
    }
}

/// Lagging usage of a backend server.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// The moment measured, in Unix milliseconds.
    pub asof: Millis,
    /// Usage by task.
    pub tasks: Vec<TaskUsage>,
    /// Mean service time in milliseconds of requests in the window, if any.
    pub service: Option<f64>,
}

/// All that a backend server runs or has not yet been allowed to forget.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listing {
    /// Distinguishes this run of the server from an earlier one.
    pub incarnation: u64,
    /// Whether the server says of itself that it is leaving.
    pub leaving: bool,
    /// Attempts.
    pub tasks: Vec<TaskReport>,
    /// Lagging usage.
    pub usage: LoadReport,
}
