//! What the leader reports of tasks whose turn has come.

#[allow(dead_code)]
mod fleet;

use base::{Now, Size};
use fleet::{Fleet, NOW};
use job::{Spec, Step};
use lead::TaskPhase;
use port::WorkerError;

fn step(count: u32, long_running: bool) -> Step {
    let size = Size { cpu: 1_000, memory: 100, accel: 0 };
    Step { count, size, estimate: 1_000, long_running, ..Step::default() }
}

#[test]
fn tasks_are_counted_by_phase() {
    struct Case<'a> {
        name: &'a str,
        /// What happens to the only task after its start command was issued.
        after: &'a dyn Fn(&mut Fleet, &fleet::Sent),
        phase: TaskPhase,
    }
    let cases = [
        Case { name: "no reply yet", after: &|_, _| {}, phase: TaskPhase::Starting },
        Case {
            name: "confirmed",
            after: &|fleet, sent| fleet.reply_start(sent, Ok(1)),
            phase: TaskPhase::Running,
        },
        Case {
            name: "no reply",
            after: &|fleet, sent| {
                fleet.reply_start(sent, Err(WorkerError::InDoubt("timeout".into())))
            },
            phase: TaskPhase::InDoubt,
        },
        Case {
            name: "not sent",
            after: &|fleet, sent| {
                fleet.reply_start(sent, Err(WorkerError::Unsent("refused".into())))
            },
            phase: TaskPhase::Queued,
        },
    ];
    for case in cases {
        for long_running in [false, true] {
            let mut fleet = Fleet::open(1);
            let steps = vec![step(1, long_running)];
            fleet.accept("a", Spec { text: "t".into(), steps, repeat: None });
            let sent = fleet.starts().remove(0);
            (case.after)(&mut fleet, &sent);
            let first = Now { mono: fleet.now(), unix: NOW.unix };
            fleet.lead.audit(first);
            let audit = fleet.lead.audit(Now { mono: first.mono + 1_500, ..first });
            let count = &audit.phases[&case.phase];
            assert_eq!(audit.phases.len(), 1, "{}: {audit:?}", case.name);
            assert_eq!((count.tasks, count.age), (1, 1_500), "{}", case.name);
            let down = long_running && case.phase != TaskPhase::Running;
            assert_eq!(audit.lasting_down.tasks, usize::from(down), "{}", case.name);
        }
    }
}
