//! Workers with more completions than one list contains.

#[allow(dead_code)]
mod fleet;

use base::{Millis, Size};
use fleet::{Fleet, Sent};
use job::{Spec, State, Step};
use port::Outcome;

/// Most completions in one list.
const PAGE: usize = 500;
/// Completions of a worker.
const ENDS: usize = 650;
/// Interval between two lists.
const INTERVAL: Millis = 400;

fn spec(tasks: u32) -> Spec {
    let size = Size { cpu: 1, memory: 1, accel: 0 };
    let step = Step { count: tasks, size, estimate: 1_000, ..Step::default() };
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

/// Delivers completions of a worker, which runs nothing, from number `from` on.
fn list_page(fleet: &mut Fleet, id: &str, sent: &[Sent], from: usize) {
    let ends = sent.iter().filter(|(worker, _)| &**worker == id).map(|(_, start)| start);
    let ends: Vec<_> = ends
        .enumerate()
        .map(|(n, start)| (n as u64 + 1, start, Outcome::Done))
        .skip(from)
        .take(PAGE)
        .collect();
    fleet.list(id, &[], &ends);
}

/// Opens a fleet of two workers on which a job of `tasks` tasks has ended, and replaces the leader,
/// which knows of no end.
fn take_over(tasks: u32) -> (Fleet, Vec<Sent>) {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", spec(tasks));
    let sent = fleet.start_waiting();
    assert_eq!(sent.len(), tasks as usize);
    fleet.store();
    fleet.take_over();
    for id in ["w0", "w1"] {
        fleet.repeat_record_of(id);
    }
    (fleet, sent)
}

/// Guards against tasks that start again after their end: a list with a full page of completions
/// was taken for all that its worker has to tell.
#[test]
fn inherited_tasks_wait_for_the_last_page_of_completions() {
    struct Case<'a> {
        name: &'a str,
        /// What happens for eight seconds after the first page.
        meanwhile: &'a dyn Fn(&mut Fleet, &[Sent]),
        /// Whether the ends of the second page are lost with the leases of the worker.
        lost: bool,
    }
    let cases = [
        Case {
            name: "the other ends follow",
            meanwhile: &|fleet, sent| {
                fleet.store();
                assert!(fleet.poll("w0").acked >= PAGE as u64);
                list_page(fleet, "w0", sent, PAGE);
            },
            lost: false,
        },
        Case {
            name: "the store is away, so that the worker lists the same page",
            meanwhile: &|fleet, sent| list_page(fleet, "w0", sent, 0),
            lost: false,
        },
        Case {
            name: "the worker falls silent",
            meanwhile: &|fleet, _| fleet.fail_poll("w0"),
            lost: true,
        },
        Case {
            name: "the worker restarts",
            meanwhile: &|fleet, _| {
                fleet.restart("w0", 2);
                fleet.list("w0", &[], &[]);
            },
            lost: true,
        },
    ];
    for Case { name, meanwhile, lost } in cases {
        let (mut fleet, sent) = take_over(2 * ENDS as u32);
        list_page(&mut fleet, "w1", &sent, 0);
        fleet.store();
        list_page(&mut fleet, "w1", &sent, PAGE);
        list_page(&mut fleet, "w0", &sent, 0);
        assert_eq!(fleet.starts().len(), 0, "{name}: at the first page");
        let mut starts = 0;
        for _ in 0..20 {
            fleet.advance(INTERVAL);
            meanwhile(&mut fleet, &sent);
            fleet.list_known("w1");
            starts += fleet.start_waiting().len();
        }
        assert_eq!(starts, if lost { ENDS - PAGE } else { 0 }, "{name}");
        if !lost {
            fleet.store();
            list_page(&mut fleet, "w0", &sent, PAGE);
            fleet.store();
            assert_eq!(fleet.starts().len(), 0, "{name}: at the end");
            assert_eq!(fleet.lead.state("a"), Some(State::Completed), "{name}");
        }
    }
}

/// Guards against work that is lost while a worker lists its completions: the leases of its runs
/// have to be renewed meanwhile.
#[test]
fn leases_are_renewed_before_the_last_page_of_completions() {
    let (mut fleet, sent) = take_over(2 * ENDS as u32);
    list_page(&mut fleet, "w0", &sent, 0);
    assert!(fleet.poll("w0").deadline.is_some());
}

/// Guards against done tasks that the next leader starts again: the record of a worker with
/// completions that it has not listed was deleted, so that nobody asks for them.
#[test]
fn a_draining_worker_stays_in_the_log_until_it_has_listed_all_completions() {
    let (mut fleet, sent) = take_over(2 * ENDS as u32);
    fleet.drain("w0");
    for from in [0, 0, PAGE] {
        assert!(fleet.is_recorded("w0"), "before the page from {from}");
        fleet.advance(4_000);
        list_page(&mut fleet, "w0", &sent, from);
        fleet.starts();
        fleet.store();
    }
    fleet.advance(INTERVAL);
    fleet.list("w0", &[], &[]);
    fleet.starts();
    fleet.store();
    assert!(!fleet.is_recorded("w0"), "after the last page");
}
