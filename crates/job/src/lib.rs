//! Job specifications, the progress of accepted jobs, and the records in which both
//! are stored. Does no I/O and reads no clock.

mod manifest;
mod parts;
mod progress;
mod record;
mod spec;

pub use crate::{
    manifest::{Manifest, Queue},
    parts::PartId,
    progress::{Job, Occurrence, State, StepId, StepState, Task, TaskId},
    record::{
        Crash, JobRecord, LastRun, PartProgress, Progress, StartInDoubt, StepProgress, Summary,
        WorkerRecord,
    },
    spec::{Repeat, Spec, SpecError, Step},
};
