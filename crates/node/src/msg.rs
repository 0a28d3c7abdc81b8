use base::Name;
use job::{Queue, Spec};
use port::Reply;
use relay::{Orders, Report};
use serde::{Deserialize, Serialize};

/// Work that a caller requests of the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Work {
    /// Accept a job. The queue is sent along as defined in the manifest of the VM that the
    /// caller reached, since the leader's manifest may be older.
    Submit(Queue, Name, Spec),
    /// Return the state of a job.
    Show(Name),
    /// Cancel a job.
    Cancel(Name),
    /// Count the jobs of a queue for which no task has started.
    Pending(Name),
}

/// A call of another entry VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Work for the leader. The reply is a [`WorkReply`].
    Work(WorkRequest),
    /// Orders to a relay. The reply tells whether they were accepted.
    Orders(Orders),
    /// Report of a relay. The reply is a [`relay::ReportReply`].
    Report(Report),
}

/// Work forwarded to another VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct WorkRequest {
    /// The work.
    pub(crate) work: Work,
    /// Whether the receiver may forward it to the leader.
    pub(crate) relay: bool,
}

/// Reply to a [`WorkRequest`]; `None` if the work did not reach the leader.
pub(crate) type WorkReply = Option<Reply>;
