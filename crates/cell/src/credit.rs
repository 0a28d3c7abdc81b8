use std::collections::{BTreeMap, BTreeSet};

use base::Name;
use serde::{Deserialize, Serialize};

use crate::Peer;

/// Slots of one backend server that a router holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Backend server identifier.
    pub backend: Name,
    /// Number of slots held.
    pub slots: u32,
}

/// Request of a router to the primary of a cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CreditAsk {
    /// Cell identifier.
    pub cell: Name,
    /// Router that sends the request.
    pub router: Peer,
    /// Sequence number of the router's requests to the cell; a late request is
    /// ignored.
    pub seq: u64,
    /// Slots of the cell that the router holds and has not returned.
    pub holds: Vec<Holding>,
    /// Total number of slots that the router wants to hold.
    pub want: u32,
}

/// Reply of the primary to a [`CreditAsk`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CreditAnswer {
    /// Slots that the router holds from now on, replacing its previous holdings.
    pub grants: Vec<Holding>,
    /// Number of slots that other routers wait for; the router returns them when
    /// they are idle.
    pub recall: u32,
    /// Backend servers that are leaving and receive no new requests.
    pub leaving: Vec<Name>,
    /// Expected slowdown of a request by batch tasks on each backend server, in
    /// percent.
    pub excess: Vec<(Name, u32)>,
}

/// Slots held by routers. A holding has no expiry, so that routing continues
/// during network partitions; it ends when the router returns it or is proven
/// dead.
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
    /// Sets the slots of a backend server that a router holds. Returns whether
    /// the number changed.
    pub fn set(&mut self, backend: &Name, router: &Peer, slots: u32) -> bool {
        let routers = self.held.entry(backend.clone()).or_default();
        let previous = match slots {
            0 => routers.remove(router),
            _ => routers.insert(router.clone(), slots),
        };
        if routers.is_empty() {
            self.held.remove(backend);
        }
        previous.unwrap_or(0) != slots
    }

    /// Returns the slots of a backend server that a router holds.
    pub fn held(&self, backend: &str, router: &Peer) -> u32 {
        self.held.get(backend).and_then(|r| r.get(router)).copied().unwrap_or(0)
    }

    /// Returns the slots of a backend server that all routers hold together.
    pub fn used(&self, backend: &str) -> u32 {
        self.held.get(backend).map_or(0, |routers| routers.values().sum())
    }

    /// Returns the total number of slots that a router holds.
    pub fn total(&self, router: &Peer) -> u32 {
        self.held.values().filter_map(|routers| routers.get(router)).sum()
    }

    /// Returns all routers that hold at least one slot.
    pub fn routers(&self) -> BTreeSet<Peer> {
        self.held.values().flat_map(|routers| routers.keys().cloned()).collect()
    }

    /// Returns the holdings of a router, one per backend server.
    pub fn backends(&self, router: &Peer) -> Vec<Holding> {
        let holding = |(backend, routers): (&Name, &BTreeMap<Peer, u32>)| {
            routers.get(router).map(|slots| Holding { backend: backend.clone(), slots: *slots })
        };
        self.held.iter().filter_map(holding).collect()
    }
}
