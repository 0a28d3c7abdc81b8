//! Documents with faults are refused, and versions in force only grow.

use base::{Name, Size};
use conf::{Config, Document, Publication, Reader, Standing};

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
    wrong: &'static str,
}

#[test]
fn faults_are_found() {
    let cases = [
        Case { name: "not JSON", from: "{\n", to: "", wrong: "could not parse" },
        Case { name: "cut off", from: "}]\n}", to: "", wrong: "could not parse" },
        Case {
            name: "unknown member",
            from: "\"slots\"",
            to: "\"slot\"",
            wrong: "could not parse",
        },
        Case {
            name: "zero size",
            from: "\"cpu\": 2000",
            to: "\"cpu\": 0",
            wrong: "[kinds.k] size: zero size",
        },
        Case {
            name: "size beyond any VM",
            from: "\"cpu\": 2000",
            to: "\"cpu\": 15001",
            wrong: "[kinds.k] size: 15001m/100MB/0 fits on no VM",
        },
        Case { name: "zero slots", from: "\"slots\": 8", to: "\"slots\": 0", wrong: "slots: zero" },
        Case {
            name: "named twice",
            from: "\"teams\": [",
            to: "\"teams\": [{ \"name\": \"t\", \"weight\": 1, \"quota\": { \"cpu\": 9, \"memory\": 9 } },",
            wrong: "[teams] t: named twice",
        },
        Case {
            name: "no failure domain",
            from: "{ \"d1\": \"r1\" }",
            to: "{}",
            wrong: "[domains] : none",
        },
    ];
    let largest = Some(Size { cpu: 16_000, memory: 60_000, accel: 0 });
    assert!(Document::parse(GOOD, largest).is_ok());
    for case in cases {
        let text = GOOD.replacen(case.from, case.to, 1);
        match Document::parse(&text, largest) {
            Err(e) => assert!(e.to_string().contains(case.wrong), "{}: {e}", case.name),
            Ok(_) => panic!("{}: accepted", case.name),
        }
    }
}

fn publish(id: &str, base: u64) -> Publication {
    Publication::Publish { id: Name::from(id), base, document: Document::default() }
}

#[test]
fn of_two_racing_operators_the_first_in_log_order_wins_on_every_reader() {
    let stream = [publish("a", 0), publish("b", 0), publish("c", 1), publish("d", 1)];
    let mut config = Config::default();
    let standings: Vec<_> =
        stream.iter().zip(0..).map(|(p, offset)| config.fold(offset, p)).collect();
    let (won, lost) = (Standing::Accepted, Standing::Lost);
    assert_eq!(standings, [won, lost, won, lost]);
    assert_eq!((config.version, &*config.id, config.offset), (2, "c", 2));
}

#[test]
fn a_reader_of_an_expired_stream_comes_to_the_version_in_force() {
    let mut whole = Config::default();
    let stream: Vec<_> = (0..8).map(|i| publish(&format!("p{i}"), i)).collect();
    for (offset, publication) in (0..).zip(&stream) {
        whole.fold(offset, publication);
    }
    // What is left after expiry: a stale publication that lost, the repeat of
    // the version in force, and a stale repeat that came late.
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

/// Found by the model: a reader that had been cut from the log for longer than
/// it keeps records took a publication that had lost for one that had won.
#[test]
fn a_reader_that_lagged_acts_only_at_the_end_of_the_stream() {
    let mut whole = Config::default();
    let (won, lost) = (publish("a", 0), publish("b", 0));
    whole.fold(0, &won);
    let mut lagging = Reader::default();
    // Record 0 has expired unread.
    lagging.fold(1, &lost);
    lagging.fold(2, &Publication::Repeat(whole.clone()));
    assert_eq!(lagging.end(&Config::default()), Some(whole));
}
