//! The contents of the forms become one document, or a list of faults.

use conf::Document;
use console::{Form, diff};

const EXAMPLES: [&str; 2] = [
    include_str!("../../../examples/kaur-devlin.json"),
    include_str!("../../../examples/grootletter.json"),
];

#[test]
fn document_is_unchanged_after_round_trip_through_forms() {
    for text in EXAMPLES {
        let document = Document::parse(text, None).unwrap();
        assert_eq!(Form::from_document(3, &document).document(), Ok(document));
    }
}

struct Case {
    name: &'static str,
    body: &'static str,
    fault: &'static str,
}

#[test]
fn faults_name_the_field() {
    let cases = [
        Case { name: "empty form", body: "", fault: "[domains] : none" },
        Case {
            name: "not a number",
            body: "domains.0.name=d&domains.0.region=r&teams.0.name=t&teams.0.weight=many\
                   &teams.0.cpu=1&teams.0.memory=1",
            fault: "[teams.t] weight: not a whole number",
        },
        Case {
            name: "number too long",
            body: "domains.0.name=d&domains.0.region=r&teams.0.name=t&teams.0.weight=1\
                   &teams.0.cpu=12345678901&teams.0.memory=1",
            fault: "[teams.t] cpu: not a whole number",
        },
        Case {
            name: "unknown class",
            body: "domains.0.name=d&domains.0.region=r&kinds.0.name=k&kinds.0.class=soon",
            fault: "[kinds.k] class: not a class",
        },
    ];
    for case in cases {
        let faults = Form::parse(case.body.as_bytes()).document().unwrap_err();
        let found = faults.iter().any(|f| f.to_string().contains(case.fault));
        assert!(found, "{}: {faults:?}", case.name);
    }
}

#[test]
fn diff_marks_kept_removed_and_added_lines() {
    let lines = diff("a\nb\nc", "a\nx\nc\nd");
    assert_eq!(lines, [(' ', "a"), ('-', "b"), ('+', "x"), (' ', "c"), ('+', "d")]);
}
