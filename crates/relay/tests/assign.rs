//! Which VMs relay for which workers.

use base::Name;
use relay::{Helper, assign};

struct Case {
    name: &'static str,
    /// Workers in each of the failure domains a and b.
    workers: usize,
    /// Domain, CPU capacity and whether it is fit, of each VM.
    helpers: &'static [(&'static str, u32, bool)],
    /// Workers that each VM gets.
    assigned: &'static [usize],
}

#[test]
fn workers_are_assigned_within_their_failure_domain_by_cpu_capacity() {
    let cases = [
        Case { name: "few workers", workers: 10, helpers: &[("a", 500, true)], assigned: &[10] },
        Case { name: "no VM", workers: 100, helpers: &[], assigned: &[] },
        Case {
            name: "one domain without a VM",
            workers: 100,
            helpers: &[("a", 500, true)],
            assigned: &[100],
        },
        Case {
            name: "the strongest are enough",
            workers: 200,
            helpers: &[("a", 120, true), ("a", 500, true), ("a", 500, true), ("b", 120, true)],
            assigned: &[0, 100, 100, 200],
        },
        Case {
            name: "in proportion to the capacity",
            workers: 240,
            helpers: &[("a", 400, true), ("a", 200, true), ("b", 250, true), ("b", 250, true)],
            assigned: &[160, 80, 120, 120],
        },
        Case {
            name: "a VM that lags",
            workers: 100,
            helpers: &[("a", 500, false), ("a", 120, true), ("b", 500, true)],
            assigned: &[0, 100, 100],
        },
    ];
    for case in cases {
        let unassigned: Vec<(Name, Name)> = (0..case.workers)
            .flat_map(|n| ["a", "b"].map(|d| (format!("{d}{n:03}").into(), Name::from(d))))
            .collect();
        let helper = |(at, (domain, capacity, fit)): (usize, &(&str, u32, bool))| Helper {
            vm: format!("vm{at}").into(),
            domain: (*domain).into(),
            capacity: *capacity,
            workers: 0,
            fit: *fit,
        };
        let helpers: Vec<Helper> = case.helpers.iter().enumerate().map(helper).collect();
        let assigned = assign(&unassigned, &helpers);
        let counts: Vec<usize> =
            helpers.iter().map(|h| assigned.get(&h.vm).map_or(0, Vec::len)).collect();
        assert_eq!(counts, case.assigned, "{}", case.name);
    }
}
