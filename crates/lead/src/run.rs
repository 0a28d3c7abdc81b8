use base::{Millis, Name, Size};
use job::{Crash, Step};

/// State of a run as far as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The start command was issued and has no reply yet.
    Starting,
    /// The start command got no reply; the worker may still carry it out.
    Unconfirmed,
    /// The worker has confirmed the start.
    Running,
    /// A stop command was issued, or the run is not wanted and will get one.
    Stopping,
}

/// A run of a task on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Number of the run, which rises with each run; shared by the members of a gang.
    pub run_id: u64,
    /// State as the leader knows it.
    pub state: RunState,
    /// Resources that the task requests.
    pub size: Size,
    /// Whether the task is best-effort, i.e. runs on CPU left idle by others.
    pub best_effort: bool,
    /// Whether the task runs until its job is cancelled.
    pub long_running: bool,
    /// Latency target of a service task in milliseconds; 0 for any other task.
    pub latency_target: Millis,
    /// Image that the task runs.
    pub image: Name,
    /// When the start command was issued; 0 for a run adopted from a previous leader.
    pub started_at: Millis,
    /// When the worker last confirmed a start or stop command; 0 until it has.
    pub confirmed_at: Millis,
    /// Newest incarnation of the worker that has listed the run; `None` until one has. Replies
    /// to commands do not name the incarnation.
    pub incarnation: Option<u64>,
    /// Whether only the record of its worker tells of it.
    pub(crate) recorded: bool,
    /// Worker clock when it was first known to run; `None` until it is.
    pub(crate) since: Option<Millis>,
    /// Whether its task was a suspect when it started.
    pub(crate) suspect: bool,
    /// Whether no other run that may crash the worker may start beside it.
    pub(crate) alone: bool,
    /// Whether it has run for long enough to show that it does not crash its worker.
    pub(crate) proven: bool,
    /// Crash of its worker that it caused, unless the next incarnation has it.
    pub(crate) crash: Option<Crash>,
    /// When to repeat a command that got no reply.
    pub retry_at: Millis,
    /// Whether a command for the run awaits its reply.
    pub in_flight: bool,
    /// Checkpoint that it resumes from; empty if there is none.
    pub(crate) checkpoint: Name,
    /// Whether its start command was sent more than once.
    pub(crate) resent: bool,
    /// Whether a stop was sent since the start command got no reply, which is not sent again then.
    pub(crate) given_up: bool,
    /// Number of stop commands that await their replies.
    pub(crate) stops_sent: u32,
    /// How many of these were sent before the worker's last restart, so that an earlier incarnation
    /// may confirm them.
    pub(crate) stops_outdated: u32,
    /// Completed work, in percent.
    pub percent: u32,
    /// When `percent` last changed.
    pub progress_at: Millis,
    /// Newest measurement: tail latency in milliseconds of a service task, CPU use in
    /// thousandths of a core of any other.
    pub metric: u64,
    /// Speed limit in percent of full speed; `u32::MAX` while it is unknown.
    pub throttle: u32,
    /// Since when a service task has missed its latency target; 0 while it meets it.
    pub missed_since: Millis,
}

impl Run {
    /// Creates a run whose start command is being issued.
    pub(crate) fn starting(run_id: u64, step: &Step, now: Millis) -> Run {
        Run {
            run_id,
            state: RunState::Starting,
            size: step.size,
            best_effort: step.best_effort,
            long_running: step.long_running,
            latency_target: step.latency_target,
            image: step.image.clone(),
            started_at: now,
            confirmed_at: 0,
            incarnation: None,
            recorded: false,
            since: None,
            suspect: false,
            alone: false,
            proven: false,
            crash: None,
            retry_at: 0,
            in_flight: true,
            checkpoint: "".into(),
            resent: false,
            given_up: false,
            stops_sent: 0,
            stops_outdated: 0,
            percent: 0,
            progress_at: now,
            metric: 0,
            throttle: 100,
            missed_since: 0,
        }
    }

    /// Marks the stop command as unconfirmed by the new incarnation of the worker, so that it is
    /// sent again, once those on their way have their replies.
    pub(crate) fn resend_stop(&mut self, now: Millis) {
        self.confirmed_at = 0;
        self.stops_outdated = self.stops_sent;
        self.in_flight = self.stops_sent > 0;
        self.retry_at = now;
    }

    /// Returns how long ago the worker last confirmed a command for the run, as text for logs.
    pub(crate) fn confirmed_before(&self, now: Millis) -> String {
        match self.confirmed_at {
            0 => "never".to_owned(),
            at => now.saturating_sub(at).to_string(),
        }
    }

    /// Returns the capacity that the run takes up on its worker; a best-effort run
    /// takes up no CPU.
    pub(crate) fn allocation(&self) -> Size {
        if self.best_effort { Size { cpu: 0, ..self.size } } else { self.size }
    }
}
