//! Documents with faults are rejected, and the version in force only grows.

use base::{Name, Size};
use conf::{Config, ConfigReader, Document, FoldOutcome, Publication};

const GOOD: &str = r#"{
  "domains": { "d1": "r1" },
  "services": [{ "name": "s", "target_ms": 100, "slots": 8, "connections": 64,
                 "reserve": { "cpu": 1000, "memory": 1000 } }],
  "kinds": [{ "name": "k", "size": { "cpu": 2000, "memory": 100 }, "work_ms": 10,
              "class": "normal", "attempts": 1 }],
  "teams": [{ "name": "t", "weight": 1, "quota": { "cpu": 9, "memory": 9 } }]
}"#;

struct Case {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    problem: &'static str,
}

#[test]
fn faults_are_found() {
    let cases = [
        Case { name: "not JSON", from: "{\n", to: "", problem: "could not parse" },
        Case { name: "cut off", from: "}]\n}", to: "", problem: "could not parse" },
        Case {
            name: "unknown member",
            from: "\"slots\"",
            to: "\"slot\"",
            problem: "could not parse",
        },
        Case {
            name: "zero size",
            from: "\"cpu\": 2000",
            to: "\"cpu\": 0",
            problem: "[kinds.k] size: zero size",
        },
        Case {
            name: "size beyond any VM",
            from: "\"cpu\": 2000",
            to: "\"cpu\": 15001",
            problem: "[kinds.k] size: 15001m/100MB/0 fits on no VM",
        },
        Case {
            name: "zero slots",
            from: "\"slots\": 8",
            to: "\"slots\": 0",
            problem: "slots: zero",
        },
        Case {
            name: "named twice",
            from: "\"teams\": [",
            to: "\"teams\": [{ \"name\": \"t\", \"weight\": 1, \"quota\": { \"cpu\": 9, \"memory\": 9 } },",
            problem: "[teams] t: named twice",
        },
        Case {
            name: "no failure domain",
            from: "{ \"d1\": \"r1\" }",
            to: "{}",
            problem: "[domains] : none",
        },
    ];
    let largest = Some(Size { cpu: 16_000, memory: 60_000, accel: 0 });
    assert!(Document::parse(GOOD, largest).is_ok());
    for case in cases {
        let text = GOOD.replacen(case.from, case.to, 1);
        match Document::parse(&text, largest) {
            Err(e) => assert!(e.to_string().contains(case.problem), "{}: {e}", case.name),
            Ok(_) => panic!("{}: accepted", case.name),
        }
    }
}

fn publish(id: &str, base: u64) -> Publication {
    Publication::Publish { id: Name::from(id), base, document: Document::default() }
}

#[test]
fn first_of_concurrent_publications_in_log_order_wins() {
    let stream = [publish("a", 0), publish("b", 0), publish("c", 1), publish("d", 1)];
    let mut config = Config::default();
    let outcomes: Vec<_> =
        stream.iter().zip(0..).map(|(p, offset)| config.fold(offset, p)).collect();
    let (won, lost) = (FoldOutcome::Accepted, FoldOutcome::Lost);
    assert_eq!(outcomes, [won, lost, won, lost]);
    assert_eq!((config.version, &*config.id, config.offset), (2, "c", 2));
}

#[test]
fn reader_of_expired_stream_reaches_version_in_force() {
    let mut whole = Config::default();
    let stream: Vec<_> = (0..8).map(|i| publish(&format!("p{i}"), i)).collect();
    for (offset, publication) in (0..).zip(&stream) {
        whole.fold(offset, publication);
    }
    // Records left after expiry: a rejected publication, the repeat of the version in
    // force, and a late repeat of an older version.
    let stale = Config { version: 5, id: "p4".into(), ..Config::default() };
    let rest = [publish("late", 5), Publication::Repeat(whole.clone()), Publication::Repeat(stale)];
    let mut fresh = Config::default();
    for (offset, publication) in (8..).zip(&rest) {
        whole.fold(offset, publication);
        fresh.fold(offset, publication);
    }
    assert_eq!(fresh, whole);
    assert_eq!(fresh.version, 8);
}

/// A reader that was disconnected for longer than the retention of the log took a
/// rejected publication for the accepted one. Found by the model checker.
#[test]
fn lagging_reader_yields_config_only_at_end_of_stream() {
    let mut whole = Config::default();
    let (won, lost) = (publish("a", 0), publish("b", 0));
    whole.fold(0, &won);
    let mut lagging = ConfigReader::default();
    // Record 0 has expired unread.
    lagging.fold(1, &lost);
    lagging.fold(2, &Publication::Repeat(whole.clone()));
    assert_eq!(lagging.newer_config(&Config::default()), Some(whole));
}
