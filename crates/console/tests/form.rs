//! What is typed into the forms comes out as one document, or as faults.

use conf::Document;
use console::{Form, diff};

const EXAMPLES: [&str; 2] = [
    include_str!("../../../examples/kaur-devlin.json"),
    include_str!("../../../examples/grootletter.json"),
];

#[test]
fn a_document_passes_through_the_forms_unchanged() {
    for text in EXAMPLES {
        let document = Document::parse(text, None).unwrap();
        assert_eq!(Form::open(3, &document).document(), Ok(document));
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
        Case { name: "nothing", body: "", fault: "[domains] : none" },
        Case {
            name: "not a number",
            body: "domains.0.name=d&domains.0.region=r&teams.0.name=t&teams.0.weight=many\
                   &teams.0.cpu=1&teams.0.memory=1",
            fault: "[teams.t] weight: not a whole number",
        },
        Case {
            name: "a number too long",
            body: "domains.0.name=d&domains.0.region=r&teams.0.name=t&teams.0.weight=1\
                   &teams.0.cpu=12345678901&teams.0.memory=1",
            fault: "[teams.t] cpu: not a whole number",
        },
        Case {
            name: "no class",
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
fn the_difference_keeps_takes_out_and_puts_in() {
    let lines = diff("a\nb\nc", "a\nx\nc\nd");
    assert_eq!(lines, [(' ', "a"), ('-', "b"), ('+', "x"), (' ', "c"), ('+', "d")]);
}
