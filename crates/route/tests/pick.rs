//! Table-driven tests of the choice of a server, and tests of slots and budget.

use base::Name;
use rand::{SeedableRng, rngs::StdRng};
use route::{Features, RetryBudget, Target, Targets, Tier};

/// Description of a server.
#[derive(Clone, Copy)]
struct ServerSpec {
    id: &'static str,
    tier: Tier,
    slots: u32,
    inflight: u32,
    leaving: bool,
    failures: u32,
    latency: f64,
}

const NEAR: ServerSpec = ServerSpec {
    id: "near",
    tier: Tier::Domain,
    slots: 8,
    inflight: 0,
    leaving: false,
    failures: 0,
    latency: 20.0,
};
const OTHER: ServerSpec = ServerSpec { id: "other", ..NEAR };
const REGION: ServerSpec = ServerSpec { id: "region", tier: Tier::Region, ..NEAR };
const FAR: ServerSpec = ServerSpec { id: "far", tier: Tier::Far, ..NEAR };

struct Case {
    name: &'static str,
    servers: &'static [ServerSpec],
    tried: &'static [&'static str],
    chosen: Option<&'static str>,
}

fn targets(servers: &[ServerSpec]) -> Targets {
    let mut targets = Targets::default();
    for spec in servers {
        let mut target = Target::new(([127, 0, 0, 1], 1).into(), "d.r".into(), spec.tier);
        target.slots = spec.slots;
        target.inflight = spec.inflight;
        target.leaving = spec.leaving;
        targets.by_id.insert(spec.id.into(), target);
        targets.record_success(spec.id, 0, spec.latency);
        (0..spec.failures).for_each(|_| targets.record_failure(spec.id, 0, Features::FULL));
    }
    targets.refresh();
    targets
}

#[test]
fn the_nearest_server_with_a_free_slot_is_chosen() {
    let cases = [
        Case { name: "none", servers: &[], tried: &[], chosen: None },
        Case {
            name: "near first",
            servers: &[FAR, NEAR, REGION],
            tried: &[],
            chosen: Some("near"),
        },
        Case {
            name: "no free slot near",
            servers: &[ServerSpec { inflight: 8, ..NEAR }, REGION, FAR],
            tried: &[],
            chosen: Some("region"),
        },
        Case {
            name: "no slot held near",
            servers: &[ServerSpec { slots: 0, ..NEAR }, FAR],
            tried: &[],
            chosen: Some("far"),
        },
        Case {
            name: "near leaves",
            servers: &[ServerSpec { leaving: true, ..NEAR }, REGION],
            tried: &[],
            chosen: Some("region"),
        },
        Case {
            name: "near was tried",
            servers: &[NEAR, REGION],
            tried: &["near"],
            chosen: Some("region"),
        },
        Case {
            name: "near keeps failing",
            servers: &[ServerSpec { failures: 3, ..NEAR }, REGION],
            tried: &[],
            chosen: Some("region"),
        },
        Case {
            name: "two failures are not enough",
            servers: &[ServerSpec { failures: 2, ..NEAR }, REGION],
            tried: &[],
            chosen: Some("near"),
        },
        Case {
            name: "lower latency first",
            servers: &[ServerSpec { latency: 400.0, ..NEAR }, OTHER],
            tried: &[],
            chosen: Some("other"),
        },
    ];
    for case in cases {
        let tried: Vec<Name> = case.tried.iter().map(|id| Name::from(*id)).collect();
        let mut rng = StdRng::seed_from_u64(1);
        let pick = targets(case.servers).pick(1, &tried, Features::FULL, &mut rng);
        assert_eq!(pick.map(|p| p.backend.to_string()).as_deref(), case.chosen, "{}", case.name);
    }
}

#[test]
fn a_quarantined_server_is_tried_again() {
    let mut targets = targets(&[ServerSpec { failures: 3, ..NEAR }]);
    let mut rng = StdRng::seed_from_u64(1);
    assert!(targets.pick(499, &[], Features::FULL, &mut rng).is_none());
    assert!(targets.pick(500, &[], Features::FULL, &mut rng).is_some());
}

#[test]
fn slots_are_never_exceeded() {
    let mut targets = targets(&[NEAR, REGION]);
    let mut rng = StdRng::seed_from_u64(1);
    let picked = (0..100).filter(|_| targets.pick(1, &[], Features::FULL, &mut rng).is_some());
    assert_eq!(picked.count(), 16);
}

#[test]
fn extra_requests_are_a_fraction_of_the_others() {
    let mut budget = RetryBudget::open();
    while budget.try_spend() {}
    let extra = (0..1000).filter(|_| {
        budget.earn();
        budget.try_spend()
    });
    assert!((99..=100).contains(&extra.count()));
}
