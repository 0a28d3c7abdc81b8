//! Which entries a table removes, and which it must keep.

use base::Size;
use cell::{Job, Op, Outcome, Table};

const HOUR: u64 = 3_600_000;
const NOW: u64 = 1000 * HOUR;

fn enter(table: &mut Table, key: &str, at: u64, settled: bool) {
    table.apply(&Op::Enter { key: key.into(), digest: 1, at }, at);
    if settled {
        table.apply(&Op::Settle { key: key.into(), outcome: Outcome::NotRun }, at);
    }
}

struct Case {
    key: &'static str,
    at: u64,
    settled: bool,
    kept: bool,
}

/// Regression test for the case `expiry` of scripts/faults: the key of a job was
/// removed while the job still ran, so that the job could no longer be found.
#[test]
fn keys_of_jobs_outlive_those_of_requests() {
    let cases = [
        Case { key: "request:new", at: NOW - HOUR, settled: true, kept: true },
        Case { key: "request:old", at: NOW - 20 * HOUR, settled: true, kept: false },
        Case { key: "request:open", at: NOW - 20 * HOUR, settled: false, kept: true },
        Case { key: "job:long", at: NOW - 20 * HOUR, settled: true, kept: true },
        Case { key: "job:ancient", at: NOW - 800 * HOUR, settled: true, kept: false },
    ];
    let mut table = Table::default();
    for case in &cases {
        enter(&mut table, case.key, case.at, case.settled);
    }
    table.forget(NOW - 12 * HOUR);
    for case in &cases {
        assert_eq!(table.keys.contains_key(case.key), case.kept, "{}", case.key);
    }
}

#[test]
fn a_job_is_kept_until_all_its_tasks_have_ended_long_ago() {
    let mut table = Table::default();
    let job = Job {
        id: "j".into(),
        team: "t".into(),
        kind: "k".into(),
        class: conf::Class::Normal,
        size: Size { cpu: 1, memory: 1, accel: 0 },
        work: 1,
        tasks: 2,
        attempts: 1,
        submitted: 1,
        command: "".into(),
    };
    table.apply(&Op::Submit(job), 1);
    table.apply(&Op::Done { task: "j#0".into(), attempt: 1, ok: true }, 2);
    table.forget(NOW);
    assert_eq!(table.tasks.len(), 2);
    table.apply(&Op::Done { task: "j#1".into(), attempt: 1, ok: true }, 3);
    table.forget(NOW);
    assert!(table.jobs.is_empty() && table.tasks.is_empty());
}
