//! Settings with faults are rejected, naming the section, the key and a hint.

use conf::Settings;

const GOOD: &str = "\
[entry]
vm = e1
domain = d1
region = r1
http = 127.0.0.1:8080
rpc = 127.0.0.1:8081
[platform]
log = 127.0.0.1:9100
vms = 127.0.0.1:9200
[timing]
lease = 1200ms
";

struct Case {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    section: &'static str,
    key: &'static str,
    hint: &'static str,
}

#[test]
fn faults_name_section_key_and_hint() {
    let cases = [
        Case {
            name: "unknown key",
            from: "vm = e1",
            to: "vm = e1\ncolour = red",
            section: "entry",
            key: "colour",
            hint: "use one of vm, domain",
        },
        Case {
            name: "unknown section",
            from: "[timing]\nlease = 1200ms",
            to: "[times]\nlease = 1200ms",
            section: "times",
            key: "",
            hint: "use [entry]",
        },
        Case {
            name: "wrong unit",
            from: "1200ms",
            to: "1200us",
            section: "timing",
            key: "lease",
            hint: "with ms, s, min or h",
        },
        Case {
            name: "no unit",
            from: "1200ms",
            to: "1200",
            section: "timing",
            key: "lease",
            hint: "with ms, s, min or h",
        },
        Case {
            name: "host name in place of an IP address",
            from: "127.0.0.1:9100",
            to: "log.example:9100",
            section: "platform",
            key: "log",
            hint: "like 10.0.0.7:9100",
        },
        Case {
            name: "missing key",
            from: "region = r1\n",
            to: "",
            section: "entry",
            key: "region",
            hint: "letters, digits and hyphens",
        },
        Case {
            name: "conflicting times",
            from: "lease = 1200ms",
            to: "lease = 1200ms\nskew = 5s",
            section: "timing",
            key: "skew",
            hint: "at most half of lease",
        },
    ];
    assert!(Settings::parse("good.ini", GOOD).is_ok());
    for case in cases {
        let text = GOOD.replace(case.from, case.to);
        let faults = match Settings::parse("bad.ini", &text) {
            Err(conf::Error::Faults { faults, .. }) => faults,
            other => panic!("{}: {other:?}", case.name),
        };
        let found = faults
            .iter()
            .any(|f| f.section == case.section && f.key == case.key && f.hint.contains(case.hint));
        assert!(found, "{}: {faults:?}", case.name);
    }
}

#[test]
fn platform_settings_are_checked() {
    struct Case {
        name: &'static str,
        text: &'static str,
        faults: &'static [(&'static str, &'static str)],
    }
    let cases = [
        Case {
            name: "whole",
            text: "[entry]\nvm = e-1\ndomain = d\nregion = r\ncallers = 10.0.0.1:1\nhealth = 10.0.0.1:2\n\
                   peers = 10.0.0.1:3\n[platform]\nstore = 10.0.0.9:1\n[vm]\nshare = 0.25\ncores = 1\n\
                   [bounds]\nhold-ms = 10000\ngrace-s = 1.5\n",
            faults: &[],
        },
        Case {
            name: "empty values take defaults",
            text: "[entry]\nvm = e-1\ndomain = d\nregion = r\ncallers = 10.0.0.1:1\nhealth = 10.0.0.1:2\n\
                   peers = 10.0.0.1:3\n[platform]\nstore = 10.0.0.9:1\n[bounds]\nhold-ms =\n",
            faults: &[],
        },
        Case {
            name: "faults",
            text: "[entry]\nvm = e 1\ndomain = d\nregion = r\ncallers = here\nhealth = 10.0.0.1:2\n\
                   peers = 10.0.0.1:3\n[platform]\nstore = 10.0.0.9:1\n[bounds]\nrestore-ms = -1\n",
            faults: &[("entry", "vm"), ("entry", "callers"), ("bounds", "restore-ms")],
        },
    ];
    for case in cases {
        let found: Vec<(String, String)> = match conf::PlatformSettings::parse("x", case.text) {
            Ok(_) => Vec::new(),
            Err(conf::Error::Faults { faults, .. }) => {
                faults.into_iter().map(|fault| (fault.section, fault.key)).collect()
            }
            Err(e) => panic!("{}: {e}", case.name),
        };
        let found: Vec<(&str, &str)> = found.iter().map(|(s, k)| (&**s, &**k)).collect();
        assert_eq!(found, case.faults, "{}", case.name);
    }
}
