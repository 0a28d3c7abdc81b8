use std::collections::{BTreeMap, BTreeSet};

use base::Name;
use serde::{Deserialize, Serialize};

use crate::Peer;

/// Slots of one backend server that a router holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Backend server.
    pub backend: Name,
    /// Slots.
    pub slots: u32,
}

/// What a router asks of the primary of a cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CreditAsk {
    /// The cell.
    pub cell: Name,
    /// The router.
    pub router: Peer,
    /// Number of this message among those of the router to the cell; a late
    /// one is passed over.
    pub seq: u64,
    /// Slots that it holds of this cell, which it has not given back.
    pub holds: Vec<Holding>,
    /// Slots that it would like to hold in all.
    pub want: u32,
}

/// Answer of the primary.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CreditAnswer {
    /// Slots that the router holds from now on.
    pub grants: Vec<Holding>,
    /// Slots that others wait for: to be given back when idle.
    pub recall: u32,
    /// Backend servers that are leaving and get no new request.
    pub leaving: Vec<Name>,
    /// Time that batch tasks are expected to add to a request, in percent.
    pub excess: Vec<(Name, u32)>,
}

/// Slots held by routers. A holding has no expiry, so that routing goes on
/// through any cut; it ends when the router gives it back or is proven dead.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Row>", into = "Vec<Row>")]
pub struct Credits {
    held: BTreeMap<Name, BTreeMap<Peer, u32>>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Row {
    backend: Name,
    router: Peer,
    slots: u32,
}

impl From<Vec<Row>> for Credits {
    fn from(rows: Vec<Row>) -> Credits {
        let mut credits = Credits::default();
        for row in rows {
            credits.set(&row.backend, &row.router, row.slots);
        }
        credits
    }
}

impl From<Credits> for Vec<Row> {
    fn from(credits: Credits) -> Vec<Row> {
        let rows = credits.held.into_iter().flat_map(|(backend, routers)| {
            let row = move |(router, slots)| Row { backend: backend.clone(), router, slots };
            routers.into_iter().map(row)
        });
        rows.collect()
    }
}

impl Credits {
    /// Sets what a router holds of a backend server. Whether that changed.
    pub fn set(&mut self, backend: &Name, router: &Peer, slots: u32) -> bool {
        let routers = self.held.entry(backend.clone()).or_default();
        let before = match slots {
            0 => routers.remove(router),
            _ => routers.insert(router.clone(), slots),
        };
        if routers.is_empty() {
            self.held.remove(backend);
        }
        before.unwrap_or(0) != slots
    }

    /// Slots that a router holds of a backend server.
    pub fn held(&self, backend: &str, router: &Peer) -> u32 {
        self.held.get(backend).and_then(|r| r.get(router)).copied().unwrap_or(0)
    }

    /// Slots of a backend server that routers hold together.
    pub fn used(&self, backend: &str) -> u32 {
        self.held.get(backend).map_or(0, |routers| routers.values().sum())
    }

    /// Slots that a router holds in all.
    pub fn total(&self, router: &Peer) -> u32 {
        self.held.values().filter_map(|routers| routers.get(router)).sum()
    }

    /// Every router that holds something.
    pub fn routers(&self) -> BTreeSet<Peer> {
        self.held.values().flat_map(|routers| routers.keys().cloned()).collect()
    }

    /// Backend servers of which a router holds slots.
    pub fn backends(&self, router: &Peer) -> Vec<Holding> {
        let holding = |(backend, routers): (&Name, &BTreeMap<Peer, u32>)| {
            routers.get(router).map(|slots| Holding { backend: backend.clone(), slots: *slots })
        };
        self.held.iter().filter_map(holding).collect()
    }
}
