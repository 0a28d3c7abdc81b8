//! Suspects of crashes on fleets of other shapes: few machines, gangs, tickets, services beside
//! them, clocks that differ, many at a time.

#[allow(dead_code)]
mod fleet;

use base::{Millis, Name, Size};
use fleet::{Fleet, Sent};
use job::{Spec, State, Step, TaskId};
use lead::{Command, RunState};
use port::{WorkerError, WorkerInfo};

/// Time within which a task that can run on an idle worker starts, in milliseconds.
const MAX_WAIT: Millis = 3_000;
/// Starts of a task, each of which crashes its worker, within which its job has failed.
const MAX_STARTS: usize = 12;
/// Time between two lists of a worker, in milliseconds.
const LIST_INTERVAL: Millis = 50;
/// Lists within which a task must have been given up. After each start without a reply it waits until
/// that one is too old to arrive.
const MAX_LISTS: usize = 5_000;

fn step(count: u32, cpu: u64) -> Step {
    Step { count, size: Size { cpu, memory: 100, accel: 0 }, estimate: 1_000, ..Step::default() }
}

fn spec(step: Step) -> Spec {
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

/// Runs a fleet for some time with all commands carried out; the policy service allows one worker.
/// Returns the starts.
fn run(fleet: &mut Fleet, ms: Millis) -> Vec<Sent> {
    let (end, mut starts) = (fleet.now() + ms, Vec::new());
    while fleet.now() < end {
        for command in fleet.commands() {
            match command {
                Command::Start(worker, start) => {
                    let sent = (worker.id, start);
                    fleet.reply_start(&sent, Ok(1));
                    starts.push(sent);
                }
                Command::Stop(worker, stop) => fleet.confirm_stop(&worker.id, &stop),
                Command::AskPolicy(step, workers) => {
                    let allowed: &[(&str, &str)] =
                        if workers.contains(&"w0".into()) { &[("w0", "t")] } else { &[] };
                    fleet.reply_policy(&step, &workers, allowed);
                }
                _ => {}
            }
        }
        fleet.store();
        fleet.advance(LIST_INTERVAL);
        fleet.list_all();
    }
    starts
}

/// Restarts workers with a time of day that differs from the leader's.
fn crash_at(fleet: &mut Fleet, ids: &[Name], ahead: i64) {
    fleet.advance(2_000);
    let incarnation = fleet.time().unix.saturating_add_signed(ahead);
    ids.iter().for_each(|id| fleet.restart(id, incarnation));
    ids.iter().for_each(|id| fleet.list(id, &[], &[]));
    fleet.advance(10);
    ids.iter().for_each(|id| fleet.list(id, &[], &[]));
}

/// Runs a fleet until the job has failed or its tasks have been started `MAX_STARTS` times, with
/// each start followed by `after`. Returns the number of starts.
fn play(fleet: &mut Fleet, confirmed: bool, after: &dyn Fn(&mut Fleet, &Sent)) -> usize {
    let mut count = 0;
    for _ in 0..MAX_LISTS {
        for command in fleet.commands() {
            match command {
                Command::Start(worker, start) => {
                    let sent = (worker.id, start);
                    count += 1;
                    let in_doubt = || WorkerError::InDoubt("timeout".into());
                    fleet.reply_start(&sent, if confirmed { Ok(1) } else { Err(in_doubt()) });
                    fleet.advance(20);
                    after(fleet, &sent);
                }
                Command::Stop(worker, stop) => fleet.confirm_stop(&worker.id, &stop),
                _ => {}
            }
        }
        fleet.store();
        fleet.advance(LIST_INTERVAL);
        if confirmed {
            fleet.list_all();
        } else {
            let ids: Vec<Name> = fleet.lead.workers.keys().cloned().collect();
            ids.iter().for_each(|id| fleet.list(id, &[], &[]));
        }
        if count >= MAX_STARTS || fleet.lead.state("a") == Some(State::Failed) {
            break;
        }
    }
    count
}

/// A task that crashes its workers was started without end where the machines that can run it are
/// fewer than those that prove it deadly.
#[test]
fn a_deadly_task_is_given_up_where_few_machines_can_run_it() {
    struct Case {
        name: &'static str,
        workers: usize,
        requires: Option<&'static str>,
        /// Whether the starts are confirmed before the crashes.
        confirmed: bool,
    }
    let case = Case { name: "", workers: 8, requires: None, confirmed: true };
    let cases = [
        Case { name: "one worker", workers: 1, ..case },
        Case { name: "a label of one worker", requires: Some("b"), ..case },
        Case { name: "three workers, no reply", workers: 3, confirmed: false, ..case },
        Case { name: "eight workers, no reply", confirmed: false, ..case },
    ];
    let mut faults = Vec::new();
    for case in cases {
        let mut fleet = Fleet::open(case.workers);
        fleet.accept("a", spec(Step { requires: case.requires.map(Name::from), ..step(1, 1_000) }));
        let crash = |fleet: &mut Fleet, sent: &Sent| fleet.crash(&sent.0);
        let starts = play(&mut fleet, case.confirmed, &crash);
        if fleet.lead.state("a") != Some(State::Failed) {
            faults.push(format!("{}: not given up after {starts} starts", case.name));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Crashes were ordered and forgotten by the workers' time of day: a deadly task was held back, or
/// started without end, and a sound one given up, where that differs from the leader's.
#[test]
fn evidence_of_crashes_does_not_depend_on_the_workers_time_of_day() {
    struct Case {
        name: &'static str,
        /// Amount by which the time of day of restarted workers is ahead.
        ahead: i64,
        /// Whether all workers crash with that of the task.
        all: bool,
        /// Whether the worker comes back under another identifier.
        renamed: bool,
        failed: bool,
    }
    let case = Case { name: "", ahead: 0, all: false, renamed: false, failed: true };
    let cases = [
        Case { name: "deadly", ..case },
        Case { name: "deadly, ahead", ahead: 600_000, ..case },
        Case { name: "deadly, behind", ahead: -600_000, ..case },
        Case { name: "deadly, renamed", renamed: true, ..case },
        Case { name: "deadly, renamed, behind", renamed: true, ahead: -600_000, ..case },
        Case { name: "mass", all: true, failed: false, ..case },
        Case { name: "mass, ahead", ahead: 600_000, all: true, failed: false, ..case },
        Case { name: "mass, behind", ahead: -600_000, all: true, failed: false, ..case },
    ];
    let mut faults = Vec::new();
    for case in cases {
        let mut fleet = Fleet::open(8);
        if case.renamed {
            fleet.crash_all();
        }
        run(&mut fleet, 2_000);
        fleet.accept("a", spec(step(1, 1_000)));
        let crash = |fleet: &mut Fleet, sent: &Sent| match case.renamed {
            true => replace_at(fleet, &sent.0, case.ahead),
            false if case.all => {
                let ids: Vec<Name> = fleet.lead.workers.keys().cloned().collect();
                crash_at(fleet, &ids, case.ahead);
            }
            false => crash_at(fleet, std::slice::from_ref(&sent.0), case.ahead),
        };
        let starts = play(&mut fleet, true, &crash);
        let state = fleet.lead.state("a");
        if (state == Some(State::Failed)) != case.failed {
            faults.push(format!("{}: {state:?} after {starts} starts", case.name));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Replaces a worker that has crashed by one of another identifier at its address, with a time of
/// day that differs from the leader's.
fn replace_at(fleet: &mut Fleet, id: &str, ahead: i64) {
    fleet.advance(2_000);
    fleet.cut(id);
    let time = fleet.time();
    let incarnation = time.unix.saturating_add_signed(ahead);
    let info = fleet.lead.workers[id].info.clone();
    let info = WorkerInfo { id: format!("{id}x").into(), incarnation, ..info };
    fleet.lead.on_worker_info(info, time);
    fleet.unlist(id);
}

/// Members of a gang that had waited for a second were planned to share workers, on which the gang
/// does not fit by its limit per worker: it never started. One of more members than suspects are
/// planned for never did either.
#[test]
fn a_gang_of_suspects_starts_beside_idle_workers() {
    struct Case {
        name: &'static str,
        workers: usize,
        gang: Step,
        /// Whether another task may have caused the crash, too.
        shared: bool,
        /// Time for which stop commands get no reply.
        slow_stops: Millis,
    }
    let gang = Step { gang: true, per_worker: 1, ..step(4, 1_000) };
    let case = Case { name: "", workers: 8, gang: gang.clone(), shared: false, slow_stops: 0 };
    let cases = [
        Case { name: "only candidate", gang: gang.clone(), ..case },
        Case { name: "one of two", shared: true, gang: gang.clone(), ..case },
        Case { name: "slow stops", shared: true, slow_stops: 1_500, gang, ..case },
        Case {
            name: "slow stops, whole workers",
            shared: true,
            slow_stops: 1_500,
            gang: Step { gang: true, ..step(4, 3_000) },
            ..case
        },
        Case { name: "sixty", workers: 80, gang: Step { gang: true, ..step(60, 3_000) }, ..case },
        Case { name: "wide", workers: 80, gang: Step { gang: true, ..step(70, 3_000) }, ..case },
    ];
    let mut faults = Vec::new();
    for case in cases {
        let mut fleet = Fleet::open(case.workers);
        fleet.accept("a", spec(case.gang.clone()));
        if case.shared {
            fleet.accept("b", spec(Step { per_worker: 1, ..step(case.workers as u32, 100) }));
        }
        let sent = fleet.starts();
        sent.iter().for_each(|sent| fleet.reply_start(sent, Ok(1)));
        let first = sent.iter().find(|(_, start)| &*start.task.job == "a").expect("a start");
        fleet.crash(&first.0);
        let mut stops = fleet.stops();
        let until = fleet.now() + case.slow_stops;
        while fleet.now() < until {
            fleet.store();
            fleet.list_all();
            stops.extend(fleet.stops());
        }
        for stop in &stops {
            let of_job = fleet.lead.jobs["a"].task(&stop.task).expect("a task");
            if let Some(worker) = of_job.workers.first().cloned() {
                fleet.confirm_stop(&worker, stop);
            }
        }
        let starts = run(&mut fleet, 4 * MAX_WAIT);
        let again = starts.iter().filter(|(_, start)| &*start.task.job == "a").count();
        if again < case.gang.count as usize {
            faults.push(format!("{}: {again} starts after the crash", case.name));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// The only worker with a ticket for a suspect, whose machine had crashed under it, stayed isolated
/// and empty: the suspect waited for another one, for which it gets no ticket.
#[test]
fn a_suspect_starts_where_it_has_a_ticket() {
    let mut fleet = Fleet::open(2);
    fleet.accept_with_tickets("a", spec(step(1, 1_000)));
    let first = run(&mut fleet, 200);
    assert_eq!(first.len(), 1, "a first start");
    assert_eq!(&*first[0].0, "w0");
    fleet.crash("w0");
    fleet.accept("b", spec(step(2, 3_000)));
    let starts = run(&mut fleet, 2 * MAX_WAIT);
    let of_job = |job: &str| starts.iter().filter(|(_, s)| &*s.task.job == job).count();
    assert_eq!((of_job("a"), of_job("b")), (1, 2), "starts of the suspect, of a plain job");
}

/// A worker stayed isolated for a best-effort suspect that a service there does not admit, closed
/// to all other work.
#[test]
fn a_suspect_that_a_service_refuses_holds_no_worker() {
    struct Case {
        name: &'static str,
        /// Whether the best-effort task's worker crashes before it leaves.
        crash: bool,
        /// Whether the other job lasts.
        lasting: bool,
    }
    let cases = [
        Case { name: "plain, no suspect", crash: false, lasting: false },
        Case { name: "plain", crash: true, lasting: false },
        Case { name: "lasting, no suspect", crash: false, lasting: true },
        Case { name: "lasting", crash: true, lasting: true },
    ];
    let mut faults = Vec::new();
    for case in cases {
        let mut fleet = Fleet::open(2);
        let step = step(1, 1_000);
        let service = Step {
            long_running: true,
            latency_target: 50,
            image: "web".into(),
            requires: Some("b".into()),
            ..step.clone()
        };
        fleet.accept("s", spec(service));
        let (service, started) = run(&mut fleet, 600).remove(0);
        fleet.list(&service, &[(&started, 90)], &[]);
        fleet.accept("a", spec(Step { best_effort: true, image: "heavy".into(), ..step.clone() }));
        let victim = fleet.starts().remove(0);
        assert_ne!(victim.0, service, "{}", case.name);
        fleet.reply_start(&victim, Ok(1));
        if case.crash {
            fleet.crash(&victim.0);
        }
        let incarnation = fleet.lead.workers[&victim.0].info.incarnation;
        fleet.restart_draining(&victim.0, incarnation);
        fleet.accept("b", spec(Step { long_running: case.lasting, ..step }));
        let (mut starts, end) = (Vec::new(), fleet.now() + 10 * MAX_WAIT);
        while fleet.now() < end && starts.is_empty() {
            fleet.list(&service, &[(&started, 90)], &[]);
            starts = fleet.starts();
            fleet.store();
            fleet.advance(LIST_INTERVAL);
        }
        let jobs: Vec<&str> = starts.iter().map(|(_, start)| &*start.task.job).collect();
        if jobs != ["b"] {
            faults.push(format!("{}: starts beside the service: {jobs:?}", case.name));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// A new leader, or the same after a while, knew neither on which machine a task had crashed nor that
/// two identifiers were of one machine: it got the task again, and the sound job was given up.
#[test]
fn crashes_of_one_machine_give_up_no_job() {
    struct Case {
        name: &'static str,
        renamed: bool,
        /// Time for which no worker replies after the first crash.
        silence: Millis,
        take_over: bool,
    }
    let case = Case { name: "", renamed: false, silence: 0, take_over: false };
    let cases = [
        Case { name: "one leader", ..case },
        Case { name: "one leader, renamed", renamed: true, ..case },
        Case { name: "one leader, renamed, silence", renamed: true, silence: 40_000, ..case },
        Case { name: "two leaders", take_over: true, ..case },
        Case { name: "two leaders, renamed", renamed: true, take_over: true, ..case },
        Case {
            name: "two leaders, renamed, silence",
            renamed: true,
            silence: 15_000,
            take_over: true,
        },
    ];
    let mut faults = Vec::new();
    for case in cases {
        let mut fleet = Fleet::open(1);
        fleet.accept("a", spec(step(1, 1_000)));
        let first = fleet.starts().remove(0);
        fleet.reply_start(&first, Ok(1));
        let time = fleet.time();
        fleet.lead.on_worker_info(fleet::info("w1"), time);
        fleet.store();
        fleet.list("w1", &[], &[]);
        let crash = |fleet: &mut Fleet, id: &Name| match case.renamed {
            true => fleet.replace(id),
            false => fleet.crash(id),
        };
        crash(&mut fleet, &first.0);
        let addr = fleet.lead.workers[&first.0].info.addr;
        let until = fleet.now() + case.silence;
        while fleet.now() < until {
            let ids: Vec<Name> = fleet.lead.workers.keys().cloned().collect();
            ids.iter().for_each(|id| fleet.fail_poll(id));
            assert!(fleet.starts().is_empty(), "{}", case.name);
            fleet.store();
        }
        fleet.list_all();
        fleet.store();
        if case.take_over {
            let infos = fleet.lead.workers.values().map(|worker| worker.info.clone());
            let infos: Vec<WorkerInfo> =
                infos.filter(|info| !case.renamed || info.id != first.0).collect();
            fleet.take_over();
            let time = fleet.time();
            for info in infos {
                fleet.lead.on_worker_info(info, time);
            }
            fleet.store();
            fleet.list_all();
        }
        let mut starts = Vec::new();
        let end = fleet.now() + 30_000;
        while fleet.now() < end && starts.is_empty() {
            starts = fleet.starts();
            fleet.store();
            fleet.advance(LIST_INTERVAL);
            fleet.list_all();
        }
        let Some(second) = starts.pop() else {
            faults.push(format!("{}: no second start", case.name));
            continue;
        };
        if fleet.lead.workers[&second.0].info.addr == addr {
            faults.push(format!("{}: starts again on its machine beside an idle one", case.name));
        }
        fleet.reply_start(&second, Ok(1));
        if fleet.lead.workers[&second.0].info.addr == addr {
            crash(&mut fleet, &second.0);
            run(&mut fleet, 2_000);
        }
        if fleet.lead.state("a") == Some(State::Failed) {
            faults.push(format!("{}: given up after crashes of one machine", case.name));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// A likely cause of crashes waited for another one of its job whose worker had fallen silent, beside
/// idle workers.
#[test]
fn a_suspect_does_not_wait_for_a_sibling_on_a_silent_worker() {
    let mut fleet = Fleet::open(8);
    let lasting = Step { long_running: true, per_worker: 1, ..step(2, 1_000) };
    fleet.accept("a", spec(lasting));
    let sent = fleet.starts();
    sent.iter().for_each(|sent| fleet.reply_start(sent, Ok(1)));
    fleet.restart(&sent[0].0, fleet.time().unix);
    fleet.restart(&sent[1].0, fleet.time().unix);
    for (id, _) in &sent {
        fleet.list(id, &[], &[]);
        fleet.advance(10);
        fleet.list(id, &[], &[]);
    }
    let mut starts = Vec::new();
    let mut silent: Option<(Name, TaskId, Millis)> = None;
    let end = fleet.now() + 30_000;
    while fleet.now() < end && starts.len() < 2 {
        for sent in fleet.starts() {
            fleet.reply_start(&sent, Ok(1));
            let state = &fleet.lead.workers[&sent.0].runs[&sent.1.task].state;
            assert_eq!(*state, RunState::Running);
            if silent.is_none() {
                fleet.cut(&sent.0);
                silent = Some((sent.0.clone(), sent.1.task.clone(), fleet.now()));
            }
            starts.push(sent);
        }
        fleet.store();
        fleet.advance(LIST_INTERVAL);
        fleet.list_all();
    }
    let (_, task, since) = silent.expect("a start");
    let waited = fleet.now() - since;
    let sibling = starts.iter().any(|(_, start)| start.task != task);
    assert!(sibling && waited <= MAX_WAIT, "its sibling starts after {waited} ms: {sibling}");
}

/// Each suspect that waits was compared with all isolated workers in each pass.
#[test]
fn suspects_without_a_place_are_not_compared_with_all_workers_in_each_pass() {
    /// Workers, each full of eight tasks; half of them crash.
    const WORKERS: usize = 400;
    const ROUNDS: u64 = 10;
    let mut fleet = Fleet::open(WORKERS);
    for n in 0..8 {
        fleet.accept(&format!("a{n}"), spec(step(WORKERS as u32, 450)));
    }
    for _ in 0..40 {
        let starts = fleet.starts();
        starts.iter().for_each(|sent| fleet.reply_start(sent, Ok(1)));
    }
    let crashing: Vec<Name> = fleet.lead.workers.keys().take(WORKERS / 2).cloned().collect();
    crash_at(&mut fleet, &crashing, 0);
    fleet.store();
    fleet.list_all();
    fleet.starts();
    let before = fleet.lead.evaluations();
    for _ in 0..ROUNDS {
        fleet.starts();
    }
    let per_round = (fleet.lead.evaluations() - before) / ROUNDS;
    let bound = 10 * WORKERS as u64;
    assert!(per_round <= bound, "{per_round} workers looked at each round, bound {bound}");
}
