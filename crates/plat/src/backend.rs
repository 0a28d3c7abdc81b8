use base::{Millis, Name, Size};
use serde::{Deserialize, Serialize};

/// Request to run an attempt of a task on a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Task identifier.
    pub task: Name,
    /// Attempt number, from 1. Together with `task` it is the idempotency key.
    pub attempt: u32,
    /// Ownership epoch of the cell that sends the request.
    pub epoch: u64,
    /// Kind of the task. Tasks of one kind interfere alike with others.
    pub kind: Name,
    /// Resources committed to the task.
    pub size: Size,
    /// Deadline for receiving the request, in Unix milliseconds; it is refused
    /// afterwards.
    pub before: Millis,
    /// Lease expiry in Unix milliseconds. The task is killed then unless renewed.
    pub lease: Millis,
    /// Total work of the task, in milliseconds on an idle server.
    pub work: Millis,
    /// Part of `work` that earlier attempts have done, in the same unit.
    pub checkpoint: Millis,
    /// Command to run, as given by the job.
    pub command: Name,
}

/// Reason for refusing a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefuseReason {
    /// It was received after its deadline.
    Late,
    /// The server knows a newer epoch of the cell.
    Epoch,
    /// The server lacks free capacity.
    Room,
    /// The attempt was stopped before the start was received.
    Stopped,
}

/// Response to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartAnswer {
    /// The attempt runs or has run. A repeated start gets this as well.
    Started,
    /// The attempt was not started.
    Refused(RefuseReason),
}

/// Request to extend the leases of attempts.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Renew {
    /// Task and attempt number of each.
    pub tasks: Vec<(Name, u32)>,
    /// New lease expiry, in Unix milliseconds. A lease is never shortened.
    pub lease: Millis,
}

/// Response to a renewal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RenewAnswer {
    /// Attempts that do not run on the server, as task and attempt number.
    pub missing: Vec<(Name, u32)>,
}

/// Request to stop an attempt.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Task identifier.
    pub task: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Whether to write a checkpoint before stopping it.
    pub checkpoint: bool,
}

/// Response to a stop. Whatever it says, the attempt no longer runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopAnswer {
    /// The attempt was stopped, now or earlier.
    Stopped {
        /// Work kept by the last checkpoint, in milliseconds on an idle server.
        checkpoint: Millis,
    },
    /// The attempt had already finished.
    Finished,
    /// The attempt had already failed.
    Failed,
    /// The server does not know the attempt. It refuses a later start of it.
    Unknown,
}

/// Request to change the speed of an attempt.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Throttle {
    /// Task identifier.
    pub task: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Speed in percent of full speed, from 1 to 100.
    pub percent: u64,
}

/// Request to forget ended attempts whose outcome has been recorded.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acknowledge {
    /// Task and attempt number of each.
    pub tasks: Vec<(Name, u32)>,
}

/// State of an attempt on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It is running.
    Running,
    /// It ended successfully.
    Finished,
    /// It ended with a failure.
    Failed,
    /// It was stopped on request, or its lease expired.
    Stopped,
}

/// One attempt that a backend server knows. In JSON it is an array of the fields in
/// this order, to save space: listings are most of the traffic of the control
/// interface.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(from = "TaskReportRow", into = "TaskReportRow")]
pub struct TaskReport {
    /// Task identifier.
    pub task: Name,
    /// Attempt number.
    pub attempt: u32,
    /// State of the attempt.
    pub state: RunState,
    /// Kind of the task.
    pub kind: Name,
    /// Resources committed to the attempt.
    pub size: Size,
    /// Work kept by the last checkpoint, in milliseconds on an idle server.
    pub checkpoint: Millis,
    /// Lease expiry, in Unix milliseconds.
    pub lease: Millis,
}

type TaskReportRow = (Name, u32, RunState, Name, (u64, u64, u64), Millis, Millis);

impl From<TaskReportRow> for TaskReport {
    fn from((task, attempt, state, kind, size, checkpoint, lease): TaskReportRow) -> TaskReport {
        let size = Size { cpu: size.0, memory: size.1, accel: size.2 };
        TaskReport { task, attempt, state, kind, size, checkpoint, lease }
    }
}

impl From<TaskReport> for TaskReportRow {
    fn from(r: TaskReport) -> TaskReportRow {
        let size = (r.size.cpu, r.size.memory, r.size.accel);
        (r.task, r.attempt, r.state, r.kind, size, r.checkpoint, r.lease)
    }
}

/// Measured usage of one attempt. In JSON it is an array of the fields in this
/// order.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(from = "TaskUsageRow", into = "TaskUsageRow")]
pub struct TaskUsage {
    /// Task identifier.
    pub task: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Resources in use.
    pub used: Size,
    /// Speed in percent of what the attempt would reach on an idle server.
    pub speed: u64,
}

type TaskUsageRow = (Name, u32, (u64, u64, u64), u64);

impl From<TaskUsageRow> for TaskUsage {
    fn from((task, attempt, used, speed): TaskUsageRow) -> TaskUsage {
        let used = Size { cpu: used.0, memory: used.1, accel: used.2 };
        TaskUsage { task, attempt, used, speed }
    }
}

impl From<TaskUsage> for TaskUsageRow {
    fn from(u: TaskUsage) -> TaskUsageRow {
        (u.task, u.attempt, (u.used.cpu, u.used.memory, u.used.accel), u.speed)
    }
}

/// Measured usage of a backend server. Reports lag behind the present.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time of the measurement, in Unix milliseconds; 0 if there is none yet.
    pub asof: Millis,
    /// Usage of each running attempt.
    pub tasks: Vec<TaskUsage>,
    /// Mean service time of the requests since the previous report, in milliseconds.
    /// `None` if there were none.
    pub service: Option<f64>,
}

/// State of a backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listing {
    /// Identifies the process of the server: it changes when the server restarts.
    pub incarnation: u64,
    /// Whether the server is about to be removed and must get no new work.
    pub leaving: bool,
    /// Attempts that run or whose end has not been acknowledged.
    pub tasks: Vec<TaskReport>,
    /// Latest usage report available.
    pub usage: LoadReport,
}
