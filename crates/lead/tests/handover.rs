//! What a leader leaves to the next one, which knows only what is durable.

#[allow(dead_code)]
mod fleet;

use base::{Millis, Size};
use fleet::{Fleet, NOW, Sent, info};
use job::{Repeat, Spec, State, Step};
use port::{Outcome, Refusal};

/// Time for which a job can be queried after its end.
const JOB_RETENTION: Millis = 600_000;

/// Time after which all that earlier leaders have granted has expired, where no worker restarted.
const SETTLED: Millis = 7_500;

fn step(count: u32) -> Step {
    let size = Size { cpu: 2_500, memory: 100, accel: 0 };
    Step { count, size, estimate: 1_000, ..Step::default() }
}

fn spec(steps: Vec<Step>) -> Spec {
    Spec { text: "t".into(), steps, repeat: None }
}

/// Guards against ends that are acknowledged while what makes them superfluous is in memory only:
/// the next leader knows of no end and starts the task again.
#[test]
fn ends_that_change_nothing_wait_for_earlier_changes_of_their_job() {
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
        /// End of the first run, which is not durable, and of the second one.
        ends: [Outcome; 2],
        /// Whether the job is cancelled before the ends; the cancelling is not durable.
        cancelled: bool,
    }
    let lasting = Step { long_running: true, ..step(1) };
    let gang = Step { gang: true, ..step(2) };
    let cases = [
        Case {
            name: "a gang that one member completed, and its job",
            steps: vec![gang.clone()],
            ends: [Outcome::Done, Outcome::Done],
            cancelled: false,
        },
        Case {
            name: "a gang that one member completed",
            steps: vec![gang.clone(), Step { depends_on: vec![0], ..step(1) }],
            ends: [Outcome::Done, Outcome::Done],
            cancelled: false,
        },
        Case {
            name: "a member that fails after the gang was done",
            steps: vec![gang.clone(), Step { depends_on: vec![0], ..step(1) }],
            ends: [Outcome::Done, Outcome::Failed],
            cancelled: false,
        },
        Case {
            name: "done in a job that has failed",
            steps: vec![step(2)],
            ends: [Outcome::Failed, Outcome::Done],
            cancelled: false,
        },
        Case {
            name: "failed in a job that has failed",
            steps: vec![step(2)],
            ends: [Outcome::Failed, Outcome::Failed],
            cancelled: false,
        },
        Case {
            name: "stopped in a job that has failed",
            steps: vec![step(2)],
            ends: [Outcome::Failed, Outcome::Stopped],
            cancelled: false,
        },
        Case {
            name: "a lasting task of a job that has failed",
            steps: vec![step(1), lasting.clone()],
            ends: [Outcome::Failed, Outcome::Stopped],
            cancelled: false,
        },
        Case {
            name: "a lasting task of a job that is being cancelled",
            steps: vec![step(1), lasting],
            ends: [Outcome::Stopped, Outcome::Done],
            cancelled: true,
        },
        Case {
            name: "a gang of a job that is being cancelled",
            steps: vec![gang],
            ends: [Outcome::Done, Outcome::Done],
            cancelled: true,
        },
    ];
    let mut early = Vec::new();
    for case in cases {
        for in_flight in [false, true] {
            let name = format!("{}, in flight: {in_flight}", case.name);
            let mut fleet = Fleet::open(3);
            fleet.accept_once("a", spec(case.steps.clone()));
            let starts = fleet.starts();
            assert_eq!(starts.len(), 2, "{name}");
            starts.iter().for_each(|sent| fleet.reply_start(sent, Ok(1)));
            if case.cancelled {
                fleet.request_cancel("a");
            }
            fleet.list(&starts[0].0, &[], &[(1, &starts[0].1, case.ends[0])]);
            let batch = if in_flight { fleet.lead.take_batch() } else { None };
            fleet.list(&starts[1].0, &[], &[(1, &starts[1].1, case.ends[1])]);
            if fleet.poll(&starts[1].0).acked > 0 {
                early.push(name.clone());
            }
            batch.iter().for_each(|batch| fleet.append(batch));
            fleet.store();
            assert_eq!(fleet.poll(&starts[1].0).acked, 1, "{name}: durable");
        }
    }
    assert!(early.is_empty(), "acknowledged too early: {early:#?}");
}

/// Guards against a second copy's end that is acknowledged before the first one's is durable.
#[test]
fn the_end_of_a_second_copy_waits_for_that_of_the_first() {
    let mut fleet = Fleet::open(2);
    fleet.accept("typical", spec(vec![step(1)]));
    fleet.start_all();
    fleet.advance(200);
    fleet.finish_jobs();
    fleet.store();
    fleet.accept("a", spec(vec![Step { speculative: true, ..step(1) }]));
    let first = fleet.starts().remove(0);
    fleet.reply_start(&first, Ok(1));
    let mut second = None;
    for _ in 0..200 {
        fleet.advance(60);
        fleet.list_at(&first.0, &first.1, 10);
        fleet.list(if &*first.0 == "w0" { "w1" } else { "w0" }, &[], &[]);
        second = fleet.starts().pop();
        if second.is_some() {
            break;
        }
    }
    let second = second.expect("a copy of the task, which is late");
    fleet.reply_start(&second, Ok(1));
    fleet.list(&first.0, &[], &[(2_001, &first.1, Outcome::Done)]);
    fleet.list(&second.0, &[], &[(2_002, &second.1, Outcome::Done)]);
    assert!(fleet.poll(&second.0).acked < 2_002);
    fleet.store();
    assert_eq!(fleet.poll(&second.0).acked, 2_002);
}

/// Guards against workers and jobs that are missing for the next leader although this one believes
/// their records durable: a deletion was appended after a record that had been added later.
#[test]
fn the_last_change_of_a_record_in_a_batch_counts() {
    struct Case<'a> {
        name: &'a str,
        /// Changes that go with one batch.
        changes: &'a [&'a dyn Fn(&mut Fleet)],
        /// Whether the next leader knows worker w0, and the state of job "a" to it.
        known: (bool, Option<State>),
    }
    let retire = |fleet: &mut Fleet| {
        fleet.drain("w0");
        fleet.commands();
    };
    let forget = |fleet: &mut Fleet| {
        fleet.unlist("w0");
        fleet.commands();
    };
    let meet = |fleet: &mut Fleet| fleet.record("w0", Some(info("w0")));
    let expire = |fleet: &mut Fleet| {
        fleet.advance(JOB_RETENTION + 1);
        fleet.commands();
    };
    let submit = |fleet: &mut Fleet| {
        fleet.submit("a", spec(vec![step(1)]));
    };
    let withdraw = |fleet: &mut Fleet| assert!(fleet.lead.withdraw(&"a".into()));
    let done = Some(State::Completed);
    let cases = [
        Case { name: "retired", changes: &[&retire], known: (false, done) },
        Case { name: "retired, back", changes: &[&retire, &meet], known: (true, done) },
        Case {
            name: "retired, back, retired again",
            changes: &[&retire, &meet, &retire],
            known: (false, done),
        },
        Case { name: "forgotten", changes: &[&forget], known: (false, done) },
        Case { name: "forgotten, back", changes: &[&forget, &meet], known: (true, done) },
        Case {
            name: "forgotten, back, forgotten again",
            changes: &[&forget, &meet, &forget],
            known: (false, done),
        },
        Case { name: "a job after its time", changes: &[&expire], known: (true, None) },
        Case {
            name: "submitted again",
            changes: &[&expire, &submit],
            known: (true, Some(State::Queued)),
        },
        Case {
            name: "submitted again, withdrawn",
            changes: &[&expire, &submit, &withdraw],
            known: (true, None),
        },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let mut fleet = Fleet::open(2);
        fleet.accept("a", spec(vec![step(1)]));
        fleet.start_all();
        fleet.finish_jobs();
        fleet.store();
        // The leases that earlier leaders and this one have granted have expired.
        fleet.advance(20_000);
        fleet.list_all();
        fleet.commands();
        fleet.store();
        case.changes.iter().for_each(|change| change(&mut fleet));
        fleet.store();
        fleet.take_over();
        let known = (fleet.lead.workers.contains_key("w0"), fleet.lead.state("a"));
        if known != case.known {
            wrong.push((case.name, known));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against two leaders that decide: a leader that had not been a member, to which all workers
/// had listed their runs, became one in the log while the earlier leader decided by the words of
/// the others, and the leader after it waited for a member's time only.
#[test]
fn members_stay_while_an_earlier_leader_may_decide_by_their_words() {
    let mut fleet = Fleet::open(2);
    fleet.take_over();
    fleet.meet_all();
    let opened = fleet.time();
    assert!(fleet.lead.settled(opened), "all workers have listed");
    assert!(!fleet.lead.may_change_members(opened));
    fleet.advance(SETTLED);
    let later = fleet.time();
    assert!(fleet.lead.may_change_members(later));
}

/// Guards against workers with runs that are missing for the leader after next: one that does not
/// know their runs yet took them out of the log.
#[test]
fn workers_whose_runs_may_be_unknown_stay_in_the_log() {
    struct Case<'a> {
        name: &'a str,
        /// What the second leader learns before it is lost.
        events: &'a dyn Fn(&mut Fleet),
        /// Whether the third one knows worker w0.
        known: bool,
    }
    let wait = |fleet: &mut Fleet, ms: Millis| {
        for _ in 0..ms / 500 {
            fleet.advance(460);
            if fleet.lead.workers.contains_key("w0") {
                fleet.fail_poll("w0");
            }
            fleet.commands();
        }
    };
    let cases = [
        Case { name: "drains, not listed", events: &|fleet| fleet.drain("w0"), known: true },
        Case {
            name: "drains, restarted since it has listed",
            events: &|fleet| {
                fleet.meet_all();
                fleet.advance(SETTLED);
                fleet.restart_draining("w0", 2);
            },
            known: true,
        },
        Case {
            name: "drains, listed while an earlier leader may act",
            events: &|fleet| {
                fleet.meet_all();
                fleet.drain("w0");
            },
            known: true,
        },
        Case {
            name: "drains, listed once the earlier leader's commands have been carried out",
            events: &|fleet| {
                fleet.advance(3_000);
                fleet.meet_all();
                fleet.drain("w0");
            },
            known: false,
        },
        Case {
            name: "drains, listed once no earlier leader may act",
            events: &|fleet| {
                fleet.advance(SETTLED);
                fleet.meet_all();
                fleet.drain("w0");
            },
            known: false,
        },
        Case {
            name: "unlisted at once",
            events: &|fleet| {
                fleet.meet_all();
                fleet.unlist("w0");
            },
            known: true,
        },
        Case {
            name: "unlisted and silent while leases of an earlier leader may be valid",
            events: &|fleet| {
                fleet.meet_all();
                fleet.unlist("w0");
                wait(fleet, 6_000);
            },
            known: true,
        },
        Case {
            name: "unlisted and silent until they have expired",
            events: &|fleet| {
                fleet.meet_all();
                fleet.unlist("w0");
                wait(fleet, SETTLED);
            },
            known: false,
        },
        Case {
            name: "unlisted after a restart, while the longest lease may be valid",
            events: &|fleet| {
                fleet.meet_all();
                fleet.restart("w0", 2);
                fleet.unlist("w0");
                wait(fleet, SETTLED);
            },
            known: true,
        },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let mut fleet = Fleet::open(2);
        fleet.take_over();
        (case.events)(&mut fleet);
        fleet.commands();
        fleet.store();
        fleet.take_over();
        if fleet.lead.workers.contains_key("w0") != case.known {
            wrong.push(case.name);
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against two runs of a task after a takeover: a worker restarts unnoticed after it has
/// listed its runs, forgets the fencing token, and takes starts from the earlier leader, which may
/// act for a while; the new one started its tasks elsewhere once its own leases had expired.
#[test]
fn tasks_of_a_silent_worker_wait_for_the_end_of_an_earlier_leader() {
    struct Case<'a> {
        name: &'a str,
        /// What happens after the worker has listed its runs to the new leader.
        event: &'a dyn Fn(&mut Fleet),
        /// Time from the takeover within which its task has to start elsewhere.
        within: (Millis, Millis),
    }
    let clock = |fleet: &mut Fleet| {
        fleet.advance(500);
        fleet.list_known("w1");
        fleet.refuse_poll("w1", Refusal::Unhealthy, 5);
    };
    let renew = |fleet: &mut Fleet| {
        fleet.poll("w1");
    };
    let cases = [
        Case { name: "silent", event: &|_| {}, within: (7_200, 7_500) },
        Case { name: "silent after a renewal", event: &renew, within: (7_200, 7_500) },
        Case { name: "restarted by its clock", event: &clock, within: (13_300, 13_700) },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let (mut fleet, sent) = fleet_with_run();
        fleet.take_over();
        let begun = fleet.now();
        fleet.meet_with(&sent);
        fleet.commands();
        (case.event)(&mut fleet);
        let after = elapsed_to_start(&mut fleet, begun);
        if after.is_none_or(|after| after < case.within.0 || after > case.within.1) {
            wrong.push((case.name, after));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// Guards against two runs of an inherited task that waits: one worker restarts after all have
/// listed their runs, forgets the fencing token, and takes a start from the earlier leader.
#[test]
fn inherited_tasks_wait_while_a_worker_is_silent_and_an_earlier_leader_may_act() {
    struct Case<'a> {
        name: &'a str,
        /// What happens after all workers have listed their runs to the new leader.
        event: &'a dyn Fn(&mut Fleet),
        /// Time from the takeover within which the task has to start.
        within: (Millis, Millis),
    }
    let silent = |fleet: &mut Fleet| {
        for _ in 0..3 {
            fleet.advance(700);
            fleet.list("w0", &[], &[]);
        }
    };
    let restart = |fleet: &mut Fleet| fleet.restart("w1", 2);
    let back = |fleet: &mut Fleet| {
        fleet.restart("w1", 2);
        fleet.list("w1", &[], &[]);
    };
    let cases = [
        Case { name: "none", event: &|_| {}, within: (0, 300) },
        Case { name: "does not reply", event: &silent, within: (7_200, 7_500) },
        Case { name: "restarted", event: &restart, within: (13_300, 13_700) },
        Case { name: "restarted and listed", event: &back, within: (0, 300) },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let mut fleet = Fleet::open(2);
        // Only w0 may run the task.
        let labelled = Step { requires: Some("a".into()), ..step(1) };
        fleet.accept("a", spec(vec![labelled]));
        fleet.take_over();
        let begun = fleet.now();
        fleet.meet_all();
        assert!(fleet.settled(), "all workers have listed their runs");
        (case.event)(&mut fleet);
        let after = elapsed_to_start(&mut fleet, begun);
        if after.is_none_or(|after| after < case.within.0 || after > case.within.1) {
            wrong.push((case.name, after));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// Guards against a second run of a task after its acknowledged end: the earlier leader had begun an
/// occurrence, which was not durable, and was not due yet by the clock of the next one.
#[test]
fn an_occurrence_that_an_earlier_leader_began_is_known_by_its_runs() {
    for ended in [false, true] {
        let mut fleet = Fleet::open(2);
        let repeat = Repeat { count: 2, start: NOW.unix + 500, interval: 60_000 };
        fleet.accept("a", Spec { repeat: Some(repeat), ..spec(vec![step(1)]) });
        fleet.advance(500);
        let sent = fleet.starts().remove(0);
        fleet.reply_start(&sent, Ok(1));
        fleet.behind = 5_000;
        fleet.take_over();
        if ended {
            fleet.meet_all();
            fleet.list(&sent.0, &[], &[(1, &sent.1, Outcome::Done)]);
        } else {
            fleet.meet_with(&sent);
            assert!(fleet.stops().is_empty(), "the run is adopted");
            fleet.list(&sent.0, &[], &[(1, &sent.1, Outcome::Done)]);
        }
        fleet.store();
        assert_eq!(fleet.poll(&sent.0).acked, 1);
        for _ in 0..100 {
            fleet.advance(60);
            fleet.list_all();
            assert!(fleet.starts().is_empty(), "started after its end, ended before: {ended}");
        }
    }
}

/// Guards against tasks that start before their time: a run of an occurrence that is not due yet, which
/// an earlier leader began by a clock that was ahead, made the leader start all tasks up to it.
#[test]
fn a_run_listed_before_its_time_does_not_make_others_start_before_theirs() {
    const INTERVAL: Millis = 60_000;
    let start = NOW.unix + 500;
    let repeat = Repeat { count: 4, start, interval: INTERVAL };
    let size = Size { cpu: 1_000, memory: 100, accel: 0 };
    let steps = vec![Step { size, ..step(2) }];
    let spec = Spec { text: "t".into(), steps, repeat: Some(repeat) };
    let mut fleet = Fleet::open(4);
    fleet.accept("a", spec);
    fleet.advance(500 + 3 * INTERVAL);
    fleet.list_all();
    let starts = fleet.starts();
    let sent = starts.iter().find(|(_, sent)| sent.task.occurrence == 3).expect("begun").clone();
    fleet.behind = 3 * INTERVAL;
    fleet.take_over();
    fleet.meet_with(&sent);
    fleet.advance(60);
    fleet.list_all();
    let unix = fleet.time().unix;
    let due = |sent: &Sent| start + u64::from(sent.1.task.occurrence) * INTERVAL;
    let early = fleet.starts().into_iter().filter(|sent| due(sent) > unix + 5_000).count();
    assert_eq!(early, 0);
}

/// Guards against occurrences that start before their time, or never, after a leader whose clock was
/// ahead: the next leader has to start each task when it is due.
#[test]
fn occurrences_begun_before_their_time_start_when_they_are_due() {
    const INTERVAL: Millis = 60_000;
    struct Case<'a> {
        name: &'a str,
        /// What happens between the starts by the earlier leader, of which one is known, and the
        /// takeover.
        before: &'a dyn Fn(&mut Fleet),
        /// What happens to the known run after the takeover.
        after: &'a dyn Fn(&mut Fleet, &Sent),
        /// Tasks of the occurrences that start in their time.
        starts: [usize; 3],
    }
    let cases = [
        Case { name: "listed", before: &|_| {}, after: &|_, _| {}, starts: [2, 2, 1] },
        Case { name: "stored", before: &|f| f.store(), after: &|_, _| {}, starts: [2, 2, 1] },
        Case {
            name: "failed",
            before: &|_| {},
            after: &|fleet, sent| fleet.list(&sent.0, &[], &[(1, &sent.1, Outcome::Failed)]),
            starts: [2, 2, 2],
        },
        Case {
            name: "done",
            before: &|_| {},
            after: &|fleet, sent| fleet.list(&sent.0, &[], &[(1, &sent.1, Outcome::Done)]),
            starts: [2, 2, 1],
        },
    ];
    for Case { name, before, after, starts } in cases {
        let start = NOW.unix + 500;
        let size = Size { cpu: 100, memory: 100, accel: 0 };
        let steps = vec![Step { size, ..step(2) }];
        let repeat = Some(Repeat { count: 4, start, interval: INTERVAL });
        let mut fleet = Fleet::open(4);
        fleet.accept("a", Spec { text: "t".into(), steps, repeat });
        fleet.advance(500 + 3 * INTERVAL);
        fleet.list_all();
        let first = fleet.starts();
        let sent = first.iter().find(|(_, sent)| sent.task.occurrence == 3).expect("begun");
        before(&mut fleet);
        fleet.behind = 3 * INTERVAL;
        fleet.take_over();
        fleet.meet_with(sent);
        after(&mut fleet, sent);
        let early = fleet.start_waiting();
        assert!(early.iter().all(|(_, sent)| sent.task.occurrence == 0), "{name}: early");
        let mut started = [0; 3];
        for (occ, count) in started.iter_mut().enumerate() {
            fleet.advance(INTERVAL);
            fleet.list_all();
            let now = fleet.start_waiting();
            let due = |(_, start): &&Sent| start.task.occurrence as usize == occ + 1;
            *count = now.iter().filter(due).count();
            assert_eq!(*count, now.len(), "{name}: occurrence {}", occ + 1);
        }
        assert_eq!(started, starts, "{name}");
    }
}

/// Returns a fleet of two workers, w1 of which has confirmed the start of the only task.
fn fleet_with_run() -> (Fleet, Sent) {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", spec(vec![step(1)]));
    let sent = fleet.starts().remove(0);
    assert_eq!(&*sent.0, "w1");
    fleet.reply_start(&sent, Ok(1));
    (fleet, sent)
}

/// Lets worker w1 be silent, and returns how long after `begun` the next task starts on w0.
fn elapsed_to_start(fleet: &mut Fleet, begun: Millis) -> Option<Millis> {
    while fleet.now() < begun + 20_000 {
        fleet.list_known("w0");
        // A poll that has no reply is repeated once it has timed out.
        if fleet.now() > begun + 2_500 {
            fleet.fail_poll("w1");
        }
        if !fleet.starts().is_empty() {
            return Some(fleet.now() - begun);
        }
        fleet.advance(60);
    }
    None
}

/// Guards against a job that is shown as completed or failed, and as cancelled by the next leader:
/// its cancelling was in an append on its way when its last task ended.
#[test]
fn a_job_is_shown_as_the_next_leader_shows_it() {
    struct Case {
        name: &'static str,
        outcome: Outcome,
        /// Whether the cancelling is on its way to the store when the task ends.
        in_flight: bool,
    }
    let cases = [
        Case { name: "completed", outcome: Outcome::Done, in_flight: false },
        Case { name: "completed, in flight", outcome: Outcome::Done, in_flight: true },
        Case { name: "failed", outcome: Outcome::Failed, in_flight: false },
        Case { name: "failed, in flight", outcome: Outcome::Failed, in_flight: true },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let mut fleet = Fleet::open(1);
        fleet.accept_once("a", spec(vec![step(1)]));
        let sent = fleet.starts().remove(0);
        fleet.reply_start(&sent, Ok(1));
        fleet.request_cancel("a");
        let batch = if case.in_flight { fleet.lead.take_batch() } else { None };
        fleet.list(&sent.0, &[], &[(1, &sent.1, case.outcome)]);
        let batch = batch.or_else(|| fleet.lead.take_batch()).expect("a batch");
        fleet.append(&batch);
        let shown = fleet.lead.state("a");
        fleet.take_over();
        if shown != fleet.lead.state("a") {
            wrong.push((case.name, shown, fleet.lead.state("a")));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}
