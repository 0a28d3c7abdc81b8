//! Decisions of the leader, case by case, on a fleet whose replies the test gives.

#[allow(dead_code)]
mod fleet;

use base::Size;
use fleet::{Fleet, NOW};
use job::{Queue, Spec, State, Step};
use lead::{Command, Submitted};
use port::{Outcome, Refusal, Start, WorkerError};

fn step(count: u32, cpu: u64) -> Step {
    let size = Size { cpu, memory: 100, accel: 0 };
    Step { count, size, estimate: 1_000, ..Step::default() }
}

fn spec(step: Step) -> Spec {
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

#[test]
fn tasks_start_on_allowed_workers() {
    struct Case {
        name: &'static str,
        step: Step,
        /// Starts on workers w0, w1 and w2.
        starts: [usize; 3],
    }
    let cases = [
        Case { name: "spread by idle CPU", step: step(3, 1_000), starts: [1, 1, 1] },
        Case { name: "no more than fits", step: step(9, 3_000), starts: [1, 1, 1] },
        Case { name: "too large for any worker", step: step(1, 9_000), starts: [0, 0, 0] },
        Case {
            name: "label",
            step: Step { requires: Some("b".into()), ..step(2, 1_000) },
            starts: [0, 2, 0],
        },
        Case {
            name: "rack with the data",
            step: Step { affinity: Some("r2".into()), ..step(2, 1_000) },
            starts: [0, 0, 2],
        },
        Case {
            name: "one on each worker",
            step: Step { per_worker: 1, ..step(5, 500) },
            starts: [1, 1, 1],
        },
        Case {
            name: "a gang that fits",
            step: Step { gang: true, ..step(3, 3_000) },
            starts: [1, 1, 1],
        },
        Case {
            name: "a gang that does not fit as a whole",
            step: Step { gang: true, ..step(4, 3_000) },
            starts: [0, 0, 0],
        },
        Case {
            name: "a gang in one rack",
            step: Step { gang: true, rack_local: true, ..step(3, 1_000) },
            starts: [3, 0, 0],
        },
    ];
    for case in cases {
        let mut fleet = Fleet::open(3);
        fleet.accept("a", spec(case.step));
        let starts = fleet.starts();
        let on = |id: &str| starts.iter().filter(|(worker, _)| &**worker == id).count();
        assert_eq!([on("w0"), on("w1"), on("w2")], case.starts, "{}", case.name);
    }
}

#[test]
fn members_of_a_gang_share_a_run_and_stop_together() {
    let mut fleet = Fleet::open(3);
    fleet.accept("a", spec(Step { gang: true, ..step(3, 3_000) }));
    let starts = fleet.starts();
    assert!(starts.iter().all(|(_, start)| start.run == starts[0].1.run));
    let refused = Err(WorkerError::Refused(Refusal::Unhealthy, None));
    fleet.reply_start(&starts[0], refused);
    fleet.reply_start(&starts[1], Ok(1));
    let stops = fleet.stops();
    assert_eq!(stops.len(), 2, "the others would wait alone: {stops:?}");
}

#[test]
fn a_job_runs_only_once_it_is_durable() {
    let mut fleet = Fleet::open(1);
    assert!(matches!(fleet.submit("a", spec(step(1, 100))), Submitted::Pending(_)));
    assert!(fleet.starts().is_empty());
    assert_eq!(fleet.lead.state("a"), None, "what is not durable is not shown");
    fleet.store();
    assert_eq!(fleet.starts().len(), 1);
    assert_eq!(fleet.submit("a", spec(step(1, 100))), Submitted::Durable);
}

#[test]
fn a_job_withdrawn_in_time_never_runs() {
    let mut fleet = Fleet::open(1);
    fleet.submit("a", spec(step(1, 100)));
    assert!(fleet.lead.withdraw(&"a".into()));
    fleet.store();
    assert!(fleet.starts().is_empty());
    fleet.submit("b", spec(step(1, 100)));
    let batch = fleet.lead.take_batch().expect("a batch");
    assert!(!fleet.lead.withdraw(&"b".into()), "it has been sent to the store");
    fleet.lead.on_stored(&batch, NOW);
    assert_eq!(fleet.starts().len(), 1);
}

#[test]
fn a_withdrawn_job_is_unknown_to_a_second_submission_that_waits() {
    let mut fleet = Fleet::open(1);
    fleet.submit("a", spec(step(1, 100)));
    fleet.submit("b", spec(step(1, 100)));
    let second = fleet.submit("a", spec(step(1, 100)));
    assert!(fleet.lead.withdraw(&"a".into()));
    fleet.store();
    assert!(matches!(second, Submitted::Pending(batch) if batch <= fleet.lead.durable_batch()));
    assert_eq!(
        fleet.lead.state("a"),
        None,
        "the second submission must not be reported as accepted"
    );
}

#[test]
fn a_cancellation_stops_the_runs_once_it_is_durable() {
    let mut fleet = Fleet::open(1);
    fleet.accept("a", spec(step(2, 100)));
    for start in fleet.starts() {
        fleet.reply_start(&start, Ok(1));
    }
    assert!(matches!(fleet.lead.cancel(&"a".into(), NOW), Submitted::Pending(_)));
    assert!(fleet.stops().is_empty());
    assert_eq!(fleet.lead.state("a"), Some(State::Active));
    fleet.store();
    assert_eq!(fleet.stops().len(), 2);
    assert_eq!(fleet.lead.state("a"), Some(State::Cancelled));
    assert_eq!(fleet.lead.cancel(&"b".into(), NOW), Submitted::NoJob);
}

#[test]
fn states_shown_to_callers_outlive_the_leader() {
    struct Case {
        name: &'static str,
        outcome: Option<Outcome>,
        cancel: bool,
        expected: State,
    }
    let cases = [
        Case { name: "queued", outcome: None, cancel: false, expected: State::Queued },
        Case {
            name: "done",
            outcome: Some(Outcome::Done),
            cancel: false,
            expected: State::Completed,
        },
        Case { name: "cancelled", outcome: None, cancel: true, expected: State::Cancelled },
    ];
    for case in cases {
        let mut fleet = Fleet::open(1);
        fleet.accept("a", spec(step(1, 1_000)));
        if let Some(outcome) = case.outcome {
            let sent = fleet.starts().remove(0);
            fleet.reply_start(&sent, Ok(1));
            fleet.list("w0", &[], &[(1, &sent.1, outcome)]);
        }
        if case.cancel {
            fleet.lead.cancel(&"a".into(), NOW);
        }
        fleet.store();
        fleet.take_over();
        // The second leader acts on the state and writes it before a third takes over.
        fleet.commands();
        fleet.store();
        fleet.take_over();
        fleet.commands();
        assert_eq!(fleet.lead.state("a"), Some(case.expected), "{}", case.name);
        assert_eq!(fleet.submit("a", spec(step(1, 1_000))), Submitted::Durable, "{}", case.name);
    }
}

#[test]
fn a_completion_is_acknowledged_and_shown_only_once_it_is_durable() {
    let mut fleet = Fleet::open(1);
    fleet.accept("a", spec(step(1, 100)));
    let start = fleet.starts().remove(0);
    fleet.reply_start(&start, Ok(1));
    fleet.list("w0", &[], &[(7, &start.1, Outcome::Done)]);
    assert_eq!(fleet.poll("w0").acked, 0);
    assert_eq!(fleet.lead.state("a"), Some(State::Active));
    fleet.store();
    assert_eq!(fleet.poll("w0").acked, 7);
    assert_eq!(fleet.lead.state("a"), Some(State::Completed));
}

#[test]
fn a_job_fails_after_the_attempts_of_its_queue() {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", spec(step(1, 100)));
    for attempt in 1..=2 {
        let starts = fleet.starts();
        assert_eq!(starts.len(), 1, "attempt {attempt}");
        fleet.reply_start(&starts[0], Ok(1));
        fleet.list(&starts[0].0, &[], &[(attempt, &starts[0].1, Outcome::Failed)]);
    }
    assert!(fleet.starts().is_empty(), "two attempts are allowed");
    fleet.store();
    assert_eq!(fleet.lead.state("a"), Some(State::Failed));
}

/// Guards against a gang that is given up after one failed run, and against one that is started more
/// often than is allowed: its members fail together and share the number of the run.
#[test]
fn a_failed_run_of_a_gang_counts_once() {
    struct Case {
        name: &'static str,
        /// How each member of a run ends.
        ends: [Outcome; 3],
        /// Whether the ends are listed one by one.
        apart: bool,
        /// Whether another leader takes over after the first of them.
        taken_over: bool,
    }
    let failed = Outcome::Failed;
    let case = Case { name: "", ends: [failed; 3], apart: false, taken_over: false };
    let cases = [
        Case { name: "all fail", ..case },
        Case { name: "all fail, listed one by one", apart: true, ..case },
        Case { name: "all fail, two before a takeover", apart: true, taken_over: true, ..case },
        Case {
            name: "one fails, the others are broken",
            ends: [failed, Outcome::Broken, Outcome::Broken],
            ..case
        },
    ];
    for case in cases {
        let mut fleet = Fleet::open(3);
        fleet.accept("a", spec(Step { gang: true, ..step(3, 1_000) }));
        let mut number = 0;
        for run in 1..=2 {
            let starts = fleet.start_waiting();
            assert_eq!(starts.len(), 3, "{}: run {run}", case.name);
            let last = starts.len() - 1;
            for (at, ((id, start), outcome)) in starts.iter().zip(case.ends).enumerate() {
                number += 1;
                if !case.apart || at < last {
                    fleet.list(id, &[], &[(number, start, outcome)]);
                    continue;
                }
                fleet.store();
                if case.taken_over {
                    fleet.take_over();
                    fleet.meet_all();
                }
                fleet.advance(10);
                fleet.list(id, &[], &[(number, start, outcome)]);
            }
            fleet.store();
            let state = fleet.lead.state("a");
            let expected = if run == 1 { State::Active } else { State::Failed };
            assert_eq!(state, Some(expected), "{}: after run {run}", case.name);
            fleet.advance(10);
        }
        assert!(fleet.starts().is_empty(), "{}: two runs are allowed", case.name);
    }
}

/// Guards against a gang that fails again on the worker on which it failed before: a member that did not
/// fail itself was started there.
#[test]
fn no_member_of_a_gang_returns_to_the_worker_on_which_it_failed() {
    let mut fleet = Fleet::open(4);
    fleet.accept("a", spec(Step { gang: true, per_worker: 1, ..step(3, 1_000) }));
    let starts = fleet.start_waiting();
    let bad = starts[0].0.clone();
    fleet.list(&bad, &[], &[(1, &starts[0].1, Outcome::Failed)]);
    for (number, (id, start)) in (2..).zip(&starts[1..]) {
        fleet.list(id, &[], &[(number, start, Outcome::Broken)]);
    }
    fleet.store();
    fleet.advance(10);
    fleet.list_all();
    let again = fleet.start_waiting();
    assert_eq!(again.len(), 3);
    assert!(again.iter().all(|(id, _)| *id != bad), "{bad} in {again:?}");
}

/// Guards against a sound worker that is paused for one failed run of a gang.
#[test]
fn a_failed_run_of_a_gang_counts_once_for_its_worker() {
    for (count, paused) in [(1, false), (3, true)] {
        let mut fleet = Fleet::open(1);
        for n in 0..count {
            let job = format!("{n:016x}");
            fleet.accept_once(&job, spec(Step { gang: true, ..step(3, 100) }));
        }
        let starts = fleet.start_waiting();
        assert_eq!(starts.len(), 3 * count);
        let ends: Vec<(u64, &Start, Outcome)> = (1..)
            .zip(&starts)
            .map(|(number, (_, start))| (number, start, Outcome::Failed))
            .collect();
        fleet.list("w0", &[], &ends);
        fleet.accept("b", spec(step(1, 100)));
        assert_eq!(fleet.starts().is_empty(), paused, "{count} failed runs");
    }
}

/// A worker that is leaving gets no start again, nor has it a further incarnation.
#[test]
fn an_unconfirmed_start_is_stopped_before_the_task_runs_elsewhere() {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", spec(step(1, 100)));
    let start = fleet.starts().remove(0);
    fleet.reply_start(&start, Err(WorkerError::InDoubt("timeout".into())));
    fleet.drain(&start.0);
    fleet.advance(600);
    let commands = fleet.commands();
    let stops = commands.iter().filter(|command| matches!(command, Command::Stop(..))).count();
    let starts = commands.iter().filter(|command| matches!(command, Command::Start(..))).count();
    assert_eq!((stops, starts), (1, 0));
    fleet.reply_stop(&start, Ok(1));
    fleet.advance(10);
    fleet.list(&start.0, &[], &[]);
    assert_eq!(fleet.starts().len(), 1);
}

#[test]
fn tasks_of_a_silent_worker_restart_once_its_leases_have_expired() {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", spec(step(1, 100)));
    let start = fleet.starts().remove(0);
    fleet.reply_start(&start, Ok(1));
    let other = if &*start.0 == "w0" { "w1" } else { "w0" };
    let silent_since = fleet.now();
    let mut restarted = None;
    for _ in 0..90 {
        fleet.advance(100);
        fleet.list(other, &[], &[]);
        // Requests that get no reply must not extend the leases for ever.
        fleet.fail_poll(&start.0);
        if restarted.is_none() && !fleet.starts().is_empty() {
            restarted = Some(fleet.now() - silent_since);
        }
    }
    let restarted = restarted.expect("restarted");
    assert!((5_000..7_500).contains(&restarted), "restarted after {restarted} ms");
}

/// A leader without CPU for some seconds polls no worker, so that leases expire on workers
/// whose runs may have completed.
#[test]
fn a_worker_with_expired_leases_is_polled_before_its_tasks_restart() {
    let mut fleet = Fleet::open(1);
    fleet.accept("a", spec(step(1, 100)));
    let start = fleet.starts().remove(0);
    fleet.reply_start(&start, Ok(1));
    fleet.advance(9_000);
    assert!(fleet.starts().is_empty(), "the run may have completed, which only the worker knows");
    fleet.list("w0", &[], &[(1, &start.1, Outcome::Done)]);
    fleet.store();
    assert_eq!(fleet.lead.state("a"), Some(State::Completed));
}

#[test]
fn a_draining_worker_gets_no_tasks() {
    let mut fleet = Fleet::open(1);
    fleet.drain("w0");
    fleet.accept("a", spec(step(1, 100)));
    assert!(fleet.starts().is_empty());
}

/// The next leader would wait for the worker to list its runs.
#[test]
fn the_record_of_an_idle_draining_worker_is_deleted() {
    let mut fleet = Fleet::open(2);
    // The commands of an earlier leader have been carried out.
    fleet.advance(3_000);
    fleet.list_all();
    fleet.drain("w0");
    fleet.commands();
    let batch = fleet.lead.take_batch().expect("a batch");
    let deleted: Vec<&str> =
        batch.records.iter().filter(|r| r.value.is_empty()).map(|r| &*r.key).collect();
    assert_eq!(deleted, ["w/w0"]);
}

/// A long-running task that lost its worker could wait forever behind a stream of small urgent
/// jobs.
#[test]
fn overdue_long_running_tasks_start_first() {
    let mut fleet = Fleet::open(1);
    fleet.accept("s", spec(Step { long_running: true, ..step(1, 4_000) }));
    fleet.start_all();
    for n in 0..3 {
        fleet.accept(&format!("u{n}"), spec(step(1, 1_000)));
    }
    fleet.advance(20_000);
    fleet.list("w0", &[], &[]);
    let starts = fleet.starts();
    assert_eq!(starts.iter().map(|(_, s)| &*s.task.job).collect::<Vec<_>>(), ["s"]);
}

#[test]
fn tasks_of_a_queue_with_a_policy_start_only_with_tickets() {
    let mut fleet = Fleet::open(3);
    fleet.accept_with_tickets("a", spec(step(2, 1_000)));
    let request = fleet.commands().into_iter().find_map(|command| match command {
        Command::AskPolicy(step, workers) => Some((step, workers)),
        _ => None,
    });
    let (step, workers) = request.expect("a policy request");
    assert_eq!(workers.len(), 3);
    assert!(fleet.starts().is_empty());
    fleet.reply_policy(&step, &workers, &[("w1", "t1")]);
    let starts = fleet.starts();
    let found: Vec<(&str, &str)> = starts.iter().map(|(w, s)| (&**w, &*s.ticket)).collect();
    assert_eq!(found, [("w1", "t1"), ("w1", "t1")]);
}

#[test]
fn a_refusal_of_the_fencing_token_deposes_the_leader() {
    let mut fleet = Fleet::open(1);
    fleet.accept("a", spec(step(1, 100)));
    let start = fleet.starts().remove(0);
    fleet.reply_start(&start, Err(WorkerError::Refused(Refusal::Fence, None)));
    assert!(fleet.lead.deposed.is_some());
}

/// Service tasks run close to their latency target beside two best-effort images, one of which
/// interferes.
#[test]
fn an_interfering_image_is_learned_moved_and_kept_away() {
    let mut fleet = Fleet::open(2);
    let service =
        Step { long_running: true, latency_target: 50, image: "web".into(), ..step(2, 1_000) };
    let best_effort = |image: &str| Step {
        best_effort: true,
        checkpoints: true,
        image: image.into(),
        ..step(2, 1_000)
    };
    fleet.accept("s", spec(Step { per_worker: 1, ..service }));
    fleet.start_all();
    for round in 0..60 {
        let (id, image) = if round % 2 == 0 { ("h", "heavy") } else { ("l", "light") };
        fleet.accept(&format!("{id}{round}"), spec(best_effort(image)));
        fleet.start_all();
        fleet.advance(300);
        fleet.report_latency(&|beside| if beside.contains("heavy") { 200 } else { 15 });
        fleet.finish_jobs();
        fleet.advance(900);
        fleet.report_latency(&|_| 15);
    }
    let interference = |image: &str| fleet.lead.learned_interference(&"web".into(), &image.into());
    assert!(
        interference("heavy") > 3.0 * interference("light").max(0.2),
        "{} {}",
        interference("heavy"),
        interference("light")
    );
    fleet.accept("h", spec(best_effort("heavy")));
    assert!(fleet.starts().is_empty(), "the heavy image would make the service miss its target");
    fleet.accept("l", spec(best_effort("light")));
    assert_eq!(fleet.starts().len(), 2);
}

/// Small best-effort tasks arrive while a service misses its latency target.
#[test]
fn no_best_effort_task_starts_beside_a_service_that_misses_its_target() {
    struct Case {
        name: &'static str,
        /// Tail latencies measured in turn, against a target of 50 ms.
        tails: &'static [u64],
        starts: usize,
    }
    let cases = [
        Case { name: "met", tails: &[15], starts: 1 },
        Case { name: "missed", tails: &[15, 60], starts: 0 },
        Case { name: "barely met again", tails: &[15, 60, 48], starts: 0 },
        Case { name: "met again", tails: &[15, 60, 20], starts: 1 },
    ];
    for case in cases {
        let mut fleet = Fleet::open(1);
        let service =
            Step { long_running: true, latency_target: 50, image: "web".into(), ..step(1, 1_000) };
        fleet.accept("s", spec(service));
        fleet.start_all();
        for tail in case.tails {
            fleet.advance(500);
            fleet.report_latency(&|_| *tail);
        }
        let tiny = Step { best_effort: true, image: "tiny".into(), ..step(1, 10) };
        fleet.accept("t", spec(tiny));
        assert_eq!(fleet.starts().len(), case.starts, "{}", case.name);
    }
}

/// Tasks that fit nowhere fill the queue beyond the number that one pass tries, ahead of a
/// best-effort task for which there is idle CPU.
#[test]
fn a_long_queue_that_fits_nowhere_does_not_delay_best_effort_tasks() {
    struct Case {
        name: &'static str,
        /// CPU that the tasks of the queued jobs request, in turn.
        queue: &'static [u64],
    }
    let cases = [
        Case { name: "same size", queue: &[3_000] },
        Case { name: "ever smaller", queue: &[3_900, 3_800, 3_700, 3_600, 3_500, 3_400] },
    ];
    for case in cases {
        let mut fleet = Fleet::open(1);
        let service =
            Step { long_running: true, latency_target: 50, image: "web".into(), ..step(1, 2_000) };
        fleet.accept("s", spec(service));
        fleet.start_all();
        fleet.advance(900);
        fleet.report_latency(&|_| 5);
        for n in 0..150 {
            let cpu = case.queue[n % case.queue.len()];
            fleet.accept(&format!("p{n:03}"), spec(step(1, cpu)));
        }
        fleet.advance(10);
        let best_effort = Step { best_effort: true, image: "tiny".into(), ..step(1, 100) };
        fleet.accept("z", spec(best_effort));
        let starts = fleet.starts();
        assert_eq!(starts.len(), 1, "{}", case.name);
        assert_eq!(&*starts[0].1.task.job, "z", "{}", case.name);
    }
}

/// Guards against two runs of a task: a leader started the tasks of a worker elsewhere when the
/// leases that it had granted had expired, while its successor, of which it had not heard yet,
/// renewed them.
#[test]
fn runs_are_given_up_only_by_evidence_from_after_the_end_of_their_leases() {
    let mut fleet = Fleet::open(2);
    // Leases of an earlier leader have expired.
    fleet.advance(8_000);
    fleet.list_all();
    fleet.accept("a", spec(step(1, 1_000)));
    let sent = fleet.starts().remove(0);
    fleet.reply_start(&sent, Ok(1));
    let other = if &*sent.0 == "w0" { "w1" } else { "w0" };
    let lost_at = fleet.now();
    fleet.unclaimed_at = Some(lost_at + 5_000);
    let silent = |fleet: &mut Fleet, period: u64| {
        let end = fleet.now() + period;
        while fleet.now() < end {
            fleet.advance(100);
            fleet.list(other, &[], &[]);
            fleet.fail_poll(&sent.0);
            if !fleet.starts().is_empty() {
                return true;
            }
        }
        false
    };
    assert!(!silent(&mut fleet, 7_000), "another leader may have renewed the leases since");
    fleet.unclaimed_at = Some(lost_at + 7_000);
    assert!(silent(&mut fleet, 200), "no other leader had taken over when the leases expired");
}

/// Guards against a refusal that is not true: a job that a leader without the store refuses again may
/// be durable, or may become so.
#[test]
fn what_is_known_of_a_submission_does_not_depend_on_the_store() {
    let mut fleet = Fleet::open(1);
    fleet.submit("a", spec(step(1, 1_000)));
    assert!(matches!(fleet.lead.submitted(&"a".into()), Some(Submitted::Pending(_))));
    assert_eq!(fleet.lead.submitted(&"b".into()), None);
    fleet.store();
    assert_eq!(fleet.lead.submitted(&"a".into()), Some(Submitted::Durable));
}

/// Guards against all work that waits for good beside an idle worker: that was isolated for a suspect,
/// which was skipped since a plain task of its size, scheduled before it, could not be placed.
#[test]
fn suspects_start_beside_waiting_tasks_of_their_size() {
    let submit = |fleet: &mut Fleet, id: &str, priority| {
        let queue = Queue { name: "q".into(), service: "s".into(), priority, ..Queue::default() };
        let time = fleet.time();
        fleet.lead.submit(&id.into(), &queue, spec(step(1, 1_000)), time);
        fleet.store();
    };
    let mut fleet = Fleet::open(1);
    submit(&mut fleet, "b", 1);
    let sent = fleet.starts().remove(0);
    fleet.reply_start(&sent, Ok(1));
    fleet.crash("w0");
    submit(&mut fleet, "a", 0);
    fleet.store();
    let mut started = Vec::new();
    for _ in 0..50 {
        fleet.list_known("w0");
        for sent in fleet.starts() {
            fleet.reply_start(&sent, Ok(1));
            started.push(sent.1.task.job.to_string());
        }
        fleet.advance(60);
    }
    assert_eq!(started, ["b", "a"]);
}
