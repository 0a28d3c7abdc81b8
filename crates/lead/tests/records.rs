//! The sizes of the records that a leader stores, and what the next one makes of some of them.

#[allow(dead_code)]
mod fleet;

use base::{Millis, Name, Size};
use fleet::{Fleet, NOW, Sent};
use job::{JobRecord, Progress, Repeat, Spec, State, Step};
use lead::{Bounds, Lead};
use port::{Item, Outcome, Record};

/// Largest record that the store accepts, in bytes.
const MAX_RECORD_BYTES: usize = 262_144;
/// Interval of a schedule.
const HOUR: Millis = 3_600_000;

fn step(count: u32, cpu: u64) -> Step {
    let size = Size { cpu, memory: 1, accel: 0 };
    Step { count, size, estimate: 1_000, ..Step::default() }
}

/// A job whose occurrences are all due, each a chain of steps with one task.
fn catch_up(times: u32, steps: u32, cpu: u64) -> Spec {
    let chain = (0..steps).map(|n| Step { depends_on: (0..n).collect(), ..step(1, cpu) });
    let repeat = Repeat { count: times, start: NOW.unix - 9_000 * HOUR, interval: HOUR };
    Spec { text: "t".into(), steps: chain.collect(), repeat: Some(repeat) }
}

/// Ends runs as they start until `rounds` rounds have passed, and returns the largest record that was
/// stored and how many tasks were done.
fn play(fleet: &mut Fleet, rounds: usize) -> (usize, usize) {
    let (mut largest, mut done) = (0, 0);
    let mut number = 0;
    for _ in 0..rounds {
        let starts = fleet.start_waiting();
        done += starts.len();
        for id in ["w0", "w1"] {
            let ends: Vec<_> = starts.iter().filter(|(worker, _)| &**worker == id).collect();
            let ends: Vec<_> = ends
                .iter()
                .map(|(_, start)| {
                    number += 1;
                    (number, start, Outcome::Done)
                })
                .collect();
            fleet.list(id, &[], &ends);
        }
        while let Some(batch) = fleet.lead.take_batch() {
            let sizes = batch.records.iter().map(Record::encoded_len);
            largest = largest.max(sizes.max().unwrap_or(0));
            fleet.append(&batch);
        }
    }
    (largest, done)
}

/// Guards against a log that takes nothing more: the progress of one job grew beyond what the store
/// accepts as a record, and the batch with it was sent again for good.
#[test]
fn records_of_progress_stay_within_the_limit_of_the_store() {
    struct Case {
        name: &'static str,
        spec: Spec,
        rounds: usize,
    }
    let wide: Vec<Step> = (0..4).map(|_| step(10_000, 1)).collect();
    let cases = [
        Case { name: "a year of hours", spec: catch_up(8_760, 12, 100), rounds: 400 },
        Case { name: "a million times", spec: catch_up(1_000_000, 1, 100), rounds: 100 },
        Case {
            name: "wide steps",
            spec: Spec { text: "t".into(), steps: wide, repeat: None },
            rounds: 40,
        },
    ];
    for Case { name, spec, rounds } in cases {
        let mut fleet = Fleet::open(2);
        fleet.accept("a", spec);
        let (largest, done) = play(&mut fleet, rounds);
        assert!(done > 1_000, "{name}: {done} tasks done");
        assert!(largest <= MAX_RECORD_BYTES / 8, "{name}: a record of {largest} bytes");
        let open = fleet.lead.jobs["a"].in_progress.len();
        assert!(open <= 2_000, "{name}: {open} occurrences in progress");
    }
}

/// Guards against a wide job that rewrites all it has done with each end.
#[test]
fn an_end_writes_what_has_changed() {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", Spec { text: "t".into(), steps: vec![step(10_000, 1)], repeat: None });
    play(&mut fleet, 1);
    let sent = fleet.starts().remove(0);
    fleet.reply_start(&sent, Ok(1));
    fleet.list(&sent.0, &[], &[(100_000, &sent.1, Outcome::Done)]);
    let batch = fleet.lead.take_batch().expect("a change");
    let bytes: usize = batch.records.iter().map(Record::encoded_len).sum();
    assert!(bytes < 512, "{bytes} bytes in {} records", batch.records.len());
}

/// Guards against work that is lost or done again by a leader that takes over a job whose progress is
/// in parts.
#[test]
fn the_next_leader_continues_a_job_whose_progress_is_in_parts() {
    let mut fleet = Fleet::open(2);
    let steps = vec![step(3_000, 1), Step { depends_on: vec![0], ..step(1, 1) }];
    fleet.accept("a", Spec { text: "t".into(), steps, repeat: None });
    let starts = fleet.start_waiting();
    assert_eq!(starts.len(), 3_000);
    let fails: Vec<&Sent> = starts.iter().filter(|(worker, _)| &**worker == "w0").take(2).collect();
    let ends = |id: &str, skip: &[&Sent]| -> Vec<Sent> {
        let here = starts.iter().filter(|sent| &*sent.0 == id);
        here.filter(|sent| !skip.contains(sent)).cloned().collect()
    };
    for id in ["w0", "w1"] {
        let done = ends(id, &fails);
        let rows: Vec<_> =
            done.iter().zip(1..).map(|((_, start), n)| (n, start, Outcome::Done)).collect();
        fleet.list(id, &[], &rows);
    }
    let failed: Vec<_> =
        fails.iter().zip(5_000..).map(|((_, start), n)| (n, start, Outcome::Failed)).collect();
    fleet.list("w0", &[], &failed);
    fleet.store();
    assert!(fleet.lead.jobs["a"].is_split());
    fleet.take_over();
    fleet.meet_all();
    fleet.advance(20_000);
    fleet.list_all();
    let again = fleet.starts();
    let tasks = |sent: &[Sent]| -> Vec<String> {
        let mut tasks: Vec<String> = sent.iter().map(|(_, s)| s.task.to_string()).collect();
        tasks.sort();
        tasks
    };
    let failed: Vec<Sent> = fails.into_iter().cloned().collect();
    assert_eq!(tasks(&again), tasks(&failed));
    // The second failure counts with the first one: the queue allows two.
    fleet.reply_start(&again[0], Ok(1));
    fleet.list(&again[0].0.clone(), &[], &[(6_000, &again[0].1, Outcome::Failed)]);
    fleet.store();
    assert_eq!(fleet.lead.state("a"), Some(State::Failed));
    assert!(!fleet.has_parts("a"), "parts of a job that has ended are deleted");
}

/// Guards against a leader that is replaced between the appends of one batch: a job that is shown
/// as what it is not, starts anew or is not found.
#[test]
fn each_prefix_of_a_batch_can_be_taken_over() {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", catch_up(1_000, 2, 1));
    play(&mut fleet, 1);
    let before = fleet.records();
    assert!(fleet.lead.jobs["a"].is_split());
    let starts = fleet.start_waiting();
    let rows: Vec<_> = starts
        .iter()
        .filter(|(worker, _)| &**worker == "w0")
        .zip(100_000..)
        .map(|((_, start), n)| (n, start, Outcome::Done))
        .collect();
    fleet.list("w0", &[], &rows);
    fleet.submit("b", catch_up(1, 1, 1));
    let batch = fleet.lead.take_batch().expect("changes");
    assert!(batch.records.len() > 10, "{} records", batch.records.len());
    let done: Vec<String> = rows.iter().map(|(_, start, _)| start.task.to_string()).collect();
    for stored in 0..=batch.records.len() {
        let mut table = before.clone();
        for record in &batch.records[..stored] {
            table.insert(record.key.clone(), record.value.clone());
        }
        let items: Vec<Item> = table.into_iter().map(|(key, value)| Item { key, value }).collect();
        let lead = Lead::open(9, &items, Bounds::default(), fleet.time());
        let job = &lead.jobs["a"];
        assert!(!job.is_terminal() && job.is_split(), "after {stored} records");
        // What is not done is in progress or begins anew; nothing else is.
        for (occ, state) in &job.in_progress {
            for (step, state) in state.steps.iter().enumerate() {
                let task = format!("a.{occ}.{step}.0");
                let may_be_done = step == 0 || done.contains(&task);
                assert!(!state.tasks[0].done || may_be_done, "{task} after {stored} records");
            }
        }
        let whole = stored == batch.records.len();
        let known = done.iter().all(|task| is_done(&lead, task));
        assert!(!whole || known, "all ends are known after the whole batch");
    }
}

fn is_done(lead: &Lead, task: &str) -> bool {
    let numbers: Vec<u32> = task.split('.').skip(1).map(|n| n.parse().expect("a number")).collect();
    let job = &lead.jobs["a"];
    match job.in_progress.get(&numbers[0]) {
        Some(state) => state.steps[numbers[1] as usize].tasks[0].done,
        None => numbers[0] < job.next_occurrence,
    }
}

/// Guards against jobs that are stuck or start anew after an update: their progress may be as large
/// as an earlier version could store it.
#[test]
fn progress_of_an_earlier_version_is_continued() {
    let spec = catch_up(8_760, 1, 100);
    let queue = job::Queue { name: "q".into(), service: "s".into(), ..job::Queue::default() };
    let record = JobRecord { queue, spec, accepted_at: NOW.unix };
    let finished: Vec<u32> = (0..8_000).filter(|occ| *occ != 7_000).collect();
    let in_progress = vec![(7_000, vec![job::StepProgress::default()])];
    let progress = Progress { finished, in_progress, ..Progress::default() };
    let item = |key: &str, value: Vec<u8>| Item { key: key.into(), value };
    let items = [
        item("j/a", postcard::to_stdvec(&record).expect("a record")),
        item("p/a", postcard::to_stdvec(&progress).expect("a record")),
    ];
    let mut fleet = Fleet::open(2);
    fleet.lead = Lead::open(2, &items, Bounds::default(), fleet.time());
    for id in ["w0", "w1"] {
        fleet.repeat_record_of(id);
        fleet.list(id, &[], &[]);
    }
    fleet.store();
    let first = fleet.starts().remove(0);
    assert_eq!(first.1.task.to_string(), "a.7000.0.0");
    play(&mut fleet, 20);
    assert!(fleet.lead.jobs["a"].is_split());
    assert!(!fleet.records().contains_key("p/a"), "the earlier record is deleted");
}

/// Guards against a log that takes nothing more: a record that the store refuses hits its job only,
/// which is shown as failed, and the next leader shows it so, too.
#[test]
fn a_job_whose_progress_is_rejected_has_failed() {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", Spec { text: "t".into(), steps: vec![step(3_000, 1)], repeat: None });
    fleet.accept("b", Spec { text: "t".into(), steps: vec![step(1, 1)], repeat: None });
    play(&mut fleet, 2);
    assert_eq!(fleet.lead.state("a"), Some(State::Completed));
    let rejected = Record { key: "t/a/0/3".into(), value: vec![0; MAX_RECORD_BYTES] };
    let time = fleet.time();
    let substitute = fleet.lead.on_record_rejected(&rejected, "status 413", time);
    // All of it was done, so that there is no substitute.
    assert_eq!(substitute, None);
    fleet.accept("c", Spec { text: "t".into(), steps: vec![step(3_000, 1)], repeat: None });
    fleet.start_waiting();
    let time = fleet.time();
    let rejected = Record { key: "t/c/0/3".into(), ..rejected };
    let substitute = fleet.lead.on_record_rejected(&rejected, "status 413", time);
    let substitute = substitute.expect("a record of the failure");
    assert!(substitute.encoded_len() < 64);
    assert!(!fleet.stops().is_empty(), "its runs are stopped");
    fleet.keep(&substitute);
    fleet.store();
    assert_eq!(fleet.lead.state("c"), Some(State::Failed));
    assert_eq!(fleet.lead.state("b"), Some(State::Completed));
    fleet.take_over();
    assert_eq!(fleet.lead.state("c"), Some(State::Failed));
    let names: Vec<Name> = fleet.lead.jobs.keys().cloned().collect();
    assert_eq!(names, ["a", "b", "c"].map(Name::from));
}

/// Guards against a model of interference that is no longer stored: it was one record, which grew with
/// the images that callers name.
#[test]
fn the_model_of_many_images_is_stored_and_restored() {
    let mut fleet = Fleet::open(1);
    for n in 0..3 {
        let service = Step { long_running: true, latency_target: 50, ..step(1, 500) };
        let step = Step { image: format!("web{n}").into(), ..service };
        fleet.accept(&format!("s{n}"), Spec { text: "t".into(), steps: vec![step], repeat: None });
    }
    fleet.start_all();
    let mut largest = 0;
    for n in 0..200 {
        let step = Step { best_effort: true, image: format!("{n:0>40}").into(), ..step(1, 100) };
        fleet.submit(&format!("b{n}"), Spec { text: "t".into(), steps: vec![step], repeat: None });
        for _ in 0..2 {
            while let Some(batch) = fleet.lead.take_batch() {
                let sizes = batch.records.iter().map(Record::encoded_len);
                largest = largest.max(sizes.max().unwrap_or(0));
                fleet.append(&batch);
            }
            fleet.start_all();
            fleet.advance(1_000);
            fleet.report_latency(&|beside| if beside.len() > 3 { 30 } else { 15 });
        }
        fleet.finish_jobs();
    }
    assert!(largest <= MAX_RECORD_BYTES / 2, "a record of {largest} bytes");
    fleet.advance(10_000);
    fleet.start_all();
    fleet.store();
    let image = Name::from(format!("{:0>40}", 199));
    let learned = |fleet: &Fleet| fleet.lead.learned_interference(&"web1".into(), &image);
    let before = learned(&fleet);
    fleet.take_over();
    assert_eq!(learned(&fleet), before);
    let unknown = fleet.lead.learned_interference(&"web1".into(), &"unknown".into());
    assert_ne!(before, unknown, "something was learned");
}

/// Returns a fleet whose job "a" has ended all of 3,000 tasks or, without `all`, all but one, with
/// `more` steps of one task after them.
fn wide(all: bool, more: u32) -> Fleet {
    let mut fleet = Fleet::open(2);
    let chain = (0..more).map(|n| Step { depends_on: (0..=n).collect(), ..step(1, 1) });
    let steps = std::iter::once(step(3_000, 1)).chain(chain).collect();
    fleet.accept("a", Spec { text: "t".into(), steps, repeat: None });
    let starts = fleet.start_waiting();
    let ended = if all { &starts[..] } else { &starts[1..] };
    for id in ["w0", "w1"] {
        let here = ended.iter().filter(|(worker, _)| &**worker == id);
        let rows: Vec<_> = here.zip(1..).map(|((_, s), n)| (n, s, Outcome::Done)).collect();
        fleet.list(id, &[], &rows);
    }
    fleet.store();
    fleet
}

/// Guards against a completed job that is not found: its last parts were stored, but not the time of
/// its end, and the next leader removed it at once.
#[test]
fn a_job_that_ended_before_its_summary_was_stored_can_be_queried() {
    const RETENTION: Millis = 600_000;
    let mut fleet = wide(false, 0);
    assert!(fleet.lead.jobs["a"].is_split());
    let parts = wide(true, 1).records().into_iter().filter(|(key, _)| key.starts_with("t/a/"));
    for (key, value) in parts {
        fleet.keep(&Record { key, value });
    }
    fleet.take_over();
    let done = Some(State::Completed);
    for (after, state) in [(1_000, done), (RETENTION - 2_000, done), (2_000, None)] {
        fleet.advance(after);
        fleet.commands();
        fleet.store();
        assert_eq!(fleet.lead.state("a"), state, "{after} ms later");
    }
}
