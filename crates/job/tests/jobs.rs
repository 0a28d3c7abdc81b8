//! Validation of job specifications, progress through steps and occurrences, and
//! rebuilding a job from its stored records.

use base::Size;
use job::{Crash, Job, JobRecord, Manifest, Progress, Queue, Repeat, Spec, State, Step, TaskId};
use quickcheck::quickcheck;

fn step(count: u32, after: &[u32]) -> Step {
    let size = Size { cpu: 100, memory: 10, accel: 0 };
    Step { count, size, depends_on: after.to_vec(), ..Step::default() }
}

fn spec(steps: Vec<Step>) -> Spec {
    Spec { text: "t".into(), steps, repeat: None }
}

#[test]
fn jobs_that_cannot_be_carried_out_are_refused() {
    struct Case {
        name: &'static str,
        spec: Spec,
        fault: Option<&'static str>,
    }
    let long = "x".repeat(4_001);
    let cases = [
        Case { name: "plain", spec: spec(vec![step(1, &[]), step(2, &[0])]), fault: None },
        Case { name: "no step", spec: spec(vec![]), fault: Some("a job needs a step") },
        Case {
            name: "no task",
            spec: spec(vec![step(0, &[])]),
            fault: Some("step 0: a step needs a task"),
        },
        Case {
            name: "itself",
            spec: spec(vec![step(1, &[0])]),
            fault: Some("step 0: a step can depend on earlier steps only"),
        },
        Case {
            name: "later step",
            spec: spec(vec![step(1, &[1]), step(1, &[])]),
            fault: Some("step 0: a step can depend on earlier steps only"),
        },
        Case {
            name: "long text",
            spec: Spec { text: long.into(), ..spec(vec![step(1, &[])]) },
            fault: Some("the text is longer than 4000 bytes"),
        },
    ];
    for case in cases {
        let fault = case.spec.check().err().map(|fault| fault.to_string());
        assert_eq!(fault.as_deref(), case.fault, "{}", case.name);
    }
}

fn job(spec: Spec) -> Job {
    let record = JobRecord { queue: Queue::default(), spec, accepted_at: 5 };
    let mut job = Job::new("j".into(), record);
    job.stored = true;
    job
}

fn restored(job: &Job) -> Job {
    let bytes = postcard::to_stdvec(&job.progress()).unwrap();
    let progress: Progress = postcard::from_bytes(&bytes).unwrap();
    Job::restore(job.id.clone(), job.record(), Some(progress))
}

fn id(occ: u32, step: u32, index: u32) -> TaskId {
    TaskId { job: "j".into(), occurrence: occ, step, index }
}

/// Guards against jobs that start anew after an update: a record that could not be read would
/// leave them without progress.
#[test]
fn crashes_are_restored_and_earlier_records_without_them_are_read() {
    let crash =
        Crash { machine: "127.0.0.1:7".into(), incarnation: 7, sole: true, confirmed: true };
    let mut job = job(spec(vec![step(2, &[])]));
    job.begin(0, u32::MAX);
    job.open_steps(0);
    job.finish(&id(0, 0, 0));
    job.task_mut(&id(0, 0, 1)).unwrap().crashes.push(crash.clone());
    let again = restored(&job);
    assert!(again.task(&id(0, 0, 0)).unwrap().done);
    assert_eq!(again.task(&id(0, 0, 1)).unwrap().crashes, [crash]);
    job.task_mut(&id(0, 0, 1)).unwrap().crashes.clear();
    let mut bytes = postcard::to_stdvec(&job.progress()).unwrap();
    assert_eq!(bytes.pop(), Some(0), "the number of tasks with crashes");
    let earlier: Progress = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(earlier, job.progress());
}

#[test]
fn a_step_opens_once_all_before_it_are_done() {
    let mut job = job(spec(vec![step(2, &[]), step(1, &[0])]));
    assert_eq!(job.begin(0, u32::MAX), [0]);
    assert_eq!(job.open_steps(0), [0]);
    assert!(job.finish(&id(0, 0, 0)));
    assert!(!job.finish(&id(0, 0, 0)), "a completion counts once");
    assert!(job.open_steps(0).is_empty());
    assert!(job.finish(&id(0, 0, 1)));
    assert_eq!(job.open_steps(0), [1]);
    assert!(job.finish(&id(0, 1, 0)));
    assert!(job.completed());
    assert_eq!(job.state(), State::Queued, "an outcome is shown only once it is durable");
    assert_eq!(restored(&job).state(), State::Completed);
}

#[test]
fn occurrences_begin_when_they_are_due() {
    let repeat = Some(Repeat { count: 3, start: 1_000, interval: 500 });
    let mut job = job(Spec { repeat, ..spec(vec![step(1, &[])]) });
    assert!(job.begin(999, u32::MAX).is_empty());
    assert_eq!(job.begin(1_500, u32::MAX), [0, 1]);
    job.finish(&id(0, 0, 0));
    let mut back = restored(&job);
    assert_eq!(back.progress().finished, [0]);
    assert!(back.begin(1_600, u32::MAX).is_empty(), "begun occurrences do not begin again");
    assert_eq!(back.begin(2_000, u32::MAX), [2]);
}

#[test]
fn the_longest_prefix_selects_the_queue() {
    struct Case {
        host: &'static str,
        path: &'static str,
        found: Option<(&'static str, &'static str)>,
    }
    let queue = |name: &str, prefix: &str| Queue {
        name: name.into(),
        host: "h.example".into(),
        prefix: prefix.into(),
        ..Queue::default()
    };
    let queues = vec![queue("a", "/x/"), queue("b", "/x/y/")];
    let manifest = Manifest { version: 1, queues };
    let cases = [
        Case { host: "h.example", path: "/x/1", found: Some(("a", "1")) },
        Case { host: "H.example:80", path: "/x/y/1", found: Some(("b", "1")) },
        Case { host: "h.example", path: "/z/1", found: None },
        Case { host: "other", path: "/x/1", found: None },
    ];
    for case in cases {
        let found = manifest.route(case.host, case.path);
        let found = found.map(|(queue, rest)| (queue.name.to_string(), rest.to_owned()));
        let expected = case.found.map(|(name, rest)| (name.to_owned(), rest.to_owned()));
        assert_eq!(found, expected, "{}{}", case.host, case.path);
    }
}

quickcheck! {
    /// For any sequence of completions and failures, the rebuilt job has the same tasks
    /// done and the same failed runs.
    fn progress_survives(done: Vec<u8>, failed: Vec<u8>) -> bool {
        let mut job = job(spec(vec![step(40, &[]), step(40, &[])]));
        job.begin(0, u32::MAX);
        for index in failed {
            if let Some(task) = job.task_mut(&id(0, u32::from(index) % 2, u32::from(index) % 40)) {
                task.failed_runs.push(u64::from(index));
            }
        }
        for index in done {
            job.finish(&id(0, u32::from(index) % 2, u32::from(index) % 40));
        }
        let back = restored(&job);
        (0..2).all(|step| (0..40).all(|index| {
            let (old, new) = (job.task(&id(0, step, index)), back.task(&id(0, step, index)));
            match (old, new) {
                (Some(old), Some(new)) => {
                    old.done == new.done && (old.done || old.failed_runs == new.failed_runs)
                }
                (None, None) => true,
                _ => false,
            }
        }))
    }
}
