//! Scheduling order of waiting jobs.

#[allow(dead_code)]
mod fleet;

use base::{Name, Size};
use fleet::Fleet;
use job::{Spec, Step};
use port::Outcome;

fn step(count: u32, cpu: u64) -> Step {
    let size = Size { cpu, memory: 100, accel: 0 };
    Step { count, size, estimate: 1_000, ..Step::default() }
}

fn spec(step: Step) -> Spec {
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

#[test]
fn jobs_and_long_running_tasks_wait_for_each_other_but_not_forever() {
    struct Case {
        name: &'static str,
        /// How long the service and the job have waited, in milliseconds.
        service: u64,
        job: u64,
        first: &'static str,
    }
    let cases = [
        Case { name: "a job that can be in time", service: 400, job: 0, first: "job" },
        Case { name: "a job that will be late", service: 3_500, job: 3_400, first: "job" },
        Case {
            name: "a service that has waited for long",
            service: 4_500,
            job: 0,
            first: "service",
        },
        Case { name: "a job too late to matter", service: 1_000, job: 7_000, first: "service" },
        Case { name: "the same after a long wait", service: 1_000, job: 11_000, first: "job" },
    ];
    for case in cases {
        let mut fleet = Fleet::open(1);
        fleet.accept("before", spec(step(1, 4_000)));
        let sent = fleet.starts();
        fleet.reply_start(&sent[0], Ok(1));
        let service =
            Step { long_running: true, latency_target: 50, image: "web".into(), ..step(1, 3_000) };
        let longest = case.service.max(case.job);
        let mut waiting: Vec<(u64, Name, Step)> = vec![
            (case.service, "service".into(), service),
            (case.job, "job".into(), step(1, 3_000)),
        ];
        for left in (0..=longest / 40).rev().map(|tick| tick * 40) {
            for (_, id, step) in waiting.extract_if(.., |(waits, ..)| *waits >= left) {
                fleet.accept(&id, spec(step));
            }
            fleet.list_at("w0", &sent[0].1, 50);
            fleet.commands();
        }
        fleet.list("w0", &[], &[(1, &sent[0].1, Outcome::Done)]);
        let started: Vec<Name> = fleet.starts().iter().map(|(_, s)| s.task.job.clone()).collect();
        assert_eq!(started, [case.first.into()], "{}", case.name);
    }
}
